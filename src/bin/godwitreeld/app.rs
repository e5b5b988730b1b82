//! Command line of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// One entry instance of the load balancer godwitreel
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub(crate) struct Arguments {
    /// Check the settings and exit
    #[bpaf(switch)]
    pub(crate) check: bool,
    /// Settings, in JSON with comments
    #[bpaf(positional("SETTINGS"))]
    pub(crate) settings: PathBuf,
}
