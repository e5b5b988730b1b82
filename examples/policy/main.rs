//! Simulates the balancing policies under load and faults.
//!
//! `cargo run --release --example policy -- ROUND...` runs the named rounds, or all
//! of them, with five seeds each and prints the tables of `docs/MEASUREMENTS.md`.
//! The real engine makes the decisions; servers, callers and the clock are models.

mod measure;
mod rounds;
mod simulation;

fn main() {
    let selected: Vec<String> = std::env::args().skip(1).collect();
    for (name, round) in rounds::ROUNDS {
        if selected.is_empty() || selected.iter().any(|round| round == name) {
            println!("\n## {name}");
            round();
        }
    }
}
