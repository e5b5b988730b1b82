//! Measures the policy under load and faults.
//!
//! `cargo run --release --example policy -- ROUND...` runs the rounds named, or
//! all of them, over five seeds each and prints the tables of
//! `docs/MEASUREMENTS.md`. The decisions are the real engine's; servers, callers
//! and the clock are models.

mod measure;
mod rounds;
mod world;

fn main() {
    let named: Vec<String> = std::env::args().skip(1).collect();
    for (name, round) in rounds::ALL {
        if named.is_empty() || named.iter().any(|wanted| wanted == name) {
            println!("\n## {name}");
            round();
        }
    }
}
