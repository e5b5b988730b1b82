//! Command line of the operators' tool.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::parsers::NamedArg;
use bpaf::positional;
use godwitreel::id;
use godwitreel::platform::BaseUrl;
use godwitreel::render::Output;

use crate::exit;

/// Name under which the program is installed.
pub(crate) const PROGRAM_NAME: &str = "godwitreel";

/// Time limit of `--wait` without a value.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);
/// Greatest value that `--wait` accepts, in seconds: one day.
const MAX_WAIT_S: u64 = 86_400;

/// Options of every command.
#[derive(Clone, Debug, Default)]
pub(crate) struct CommonOptions {
    pub(crate) config: Option<PathBuf>,
    pub(crate) platform: Vec<BaseUrl>,
    pub(crate) operator: Option<id::Operator>,
    pub(crate) output: Option<Output>,
}

impl CommonOptions {
    /// Fills options that are not given here from `outer`.
    fn or(self, outer: Self) -> Self {
        let platform = match self.platform.is_empty() {
            true => outer.platform,
            false => self.platform,
        };
        Self {
            config: self.config.or(outer.config),
            platform,
            operator: self.operator.or(outer.operator),
            output: self.output.or(outer.output),
        }
    }
}

/// The command, with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Profile(Profile),
    Service(Service),
    Drain(Drain),
    Status,
    Explain {
        service: id::Service,
        caller: id::Endpoint,
    },
    Burn {
        plot: Option<PathBuf>,
    },
    View(id::Endpoint),
    Completions(Shell),
}

/// Commands for profiles.
#[derive(Clone, Debug)]
pub(crate) enum Profile {
    Apply {
        expect: Option<id::Revision>,
        wait: Option<Duration>,
        name: id::Profile,
        file: PathBuf,
    },
    Get(id::Profile),
    List,
    Diff {
        name: id::Profile,
        file: PathBuf,
    },
    History(id::Profile),
}

/// Commands for services.
#[derive(Clone, Debug)]
pub(crate) enum Service {
    Choose {
        wait: Option<Duration>,
        service: id::Service,
        profile: id::Profile,
    },
    Add {
        service: id::Service,
        address: id::Endpoint,
        profile: id::Profile,
    },
    Get(id::Service),
    List,
}

/// Commands that drain an instance or server, evacuate a zone, or undo that.
#[derive(Clone, Debug)]
pub(crate) enum Drain {
    Instance {
        undo: bool,
        wait: Option<Duration>,
        name: id::Instance,
    },
    Server {
        undo: bool,
        name: id::Server,
    },
    Zone {
        undo: bool,
        wait: Option<Duration>,
        name: id::Zone,
    },
}

/// A shell for which completions can be generated.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Shell {
    Bash,
    Zsh,
    Fish,
}

impl std::str::FromStr for Shell {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "bash" => Ok(Self::Bash),
            "zsh" => Ok(Self::Zsh),
            "fish" => Ok(Self::Fish),
            _ => Err("want bash, zsh or fish"),
        }
    }
}

/// A command and its options.
#[derive(Clone, Debug)]
pub(crate) struct Invocation {
    pub(crate) common: CommonOptions,
    pub(crate) action: Action,
}

/// A parsed command line. The common options may be before the command or after it.
#[derive(Clone, Debug)]
pub(crate) struct CommandLine {
    common: CommonOptions,
    invocation: Invocation,
}

impl CommandLine {
    /// Merges both places of the common options; an option after the command takes
    /// precedence.
    pub(crate) fn merge(self) -> Invocation {
        Invocation {
            common: self.invocation.common.or(self.common),
            action: self.invocation.action,
        }
    }
}

/// The parser of the whole command line.
pub(crate) fn options() -> OptionParser<CommandLine> {
    let config = config()
        .env("GODWITREEL_CONFIG")
        .argument::<PathBuf>("FILE")
        .optional();
    let common = common(config);
    let invocation = invocation();
    construct!(CommandLine { common, invocation })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Drives godwitreel: profiles, services, drains, and the state of its instances.")
        .footer(exit::HELP)
}

fn invocation() -> impl Parser<Invocation> {
    let profile = profile()
        .command("profile")
        .help("Change and show profiles");
    let service = service()
        .command("service")
        .help("Change and show services");
    let instance = instance()
        .command("instance")
        .help("Let an entry instance leave");
    let server = server()
        .command("server")
        .help("Let a backend server leave");
    let zone = zone()
        .command("zone")
        .help("Stop new work to an availability zone's servers");
    let status = leaf_command(bpaf::pure(Action::Status))
        .command("status")
        .help("Show the state of every instance");
    let explain = explain();
    let report = report()
        .command("report")
        .help("Report on service-level objectives");
    let view = view();
    let completions = completions();
    construct!([
        profile,
        service,
        instance,
        server,
        zone,
        status,
        explain,
        report,
        view,
        completions,
    ])
}

fn config() -> NamedArg {
    long("config").help("Settings file, JSON with comments; else the one GODWITREEL_CONFIG names")
}

/// Parser of the options of every command; `config` parses that of the settings file.
fn common(config: impl Parser<Option<PathBuf>>) -> impl Parser<CommonOptions> {
    let platform = long("platform")
        .help("Address of the platform, http://IP:PORT; may be repeated")
        .argument::<BaseUrl>("URL")
        .many();
    let operator = long("operator")
        .help("Operator's name, recorded with each change")
        .argument::<id::Operator>("NAME")
        .optional();
    let output = long("output")
        .help("table (default) or json; usage errors are text in either case")
        .argument::<Output>("FORM")
        .optional();
    construct!(CommonOptions {
        config,
        platform,
        operator,
        output
    })
}

/// A command without subcommands.
fn leaf_command(action: impl Parser<Action> + 'static) -> OptionParser<Invocation> {
    // GODWITREEL_CONFIG is read only by the options before the command. If it were read
    // here too, it would override a --config before the command.
    let config = config().argument::<PathBuf>("FILE").optional();
    let common = common(config);
    construct!(Invocation { common, action })
        .to_options()
        .footer(exit::HELP)
}

fn profile_name() -> impl Parser<id::Profile> {
    positional("NAME").help("Name of the profile")
}

fn service_name() -> impl Parser<id::Service> {
    positional("SERVICE").help("Name of the service")
}

fn wait() -> impl Parser<Option<Duration>> {
    let limit = long("wait")
        .help("Wait until it has taken effect; --wait alone waits 30 seconds")
        .argument::<u64>("SECONDS")
        .adjacent()
        .guard(|seconds| *seconds <= MAX_WAIT_S, "want 0 to 86400")
        .map(Duration::from_secs);
    let default = long("wait").req_flag(DEFAULT_WAIT).hide();
    construct!([limit, default]).optional()
}

fn undo() -> impl Parser<bool> {
    long("undo").help("Cancel the drain").switch()
}

fn profile() -> OptionParser<Invocation> {
    let apply = {
        let expect = long("expect")
            .help("Refuse unless this is the current revision; 0 if there is none")
            .argument::<id::Revision>("REVISION")
            .optional();
        let wait = wait();
        let name = profile_name();
        let file = positional("FILE").help("The profile, JSON with comments");
        leaf_command(
            construct!(Profile::Apply {
                expect,
                wait,
                name,
                file
            })
            .map(Action::Profile),
        )
        .command("apply")
        .help("Write a profile from a file")
    };
    let get = leaf_command(profile_name().map(Profile::Get).map(Action::Profile))
        .command("get")
        .help("Show a profile");
    let list = leaf_command(bpaf::pure(Action::Profile(Profile::List)))
        .command("list")
        .help("Show all profiles");
    let diff = {
        let name = profile_name();
        let file = positional("FILE").help("The profile, JSON with comments");
        leaf_command(construct!(Profile::Diff { name, file }).map(Action::Profile))
            .command("diff")
            .help("Show how a file differs from a profile")
    };
    let history = leaf_command(profile_name().map(Profile::History).map(Action::Profile))
        .command("history")
        .help("Show a profile's last revisions");
    construct!([apply, get, list, diff, history]).to_options()
}

fn service() -> OptionParser<Invocation> {
    let choose = {
        let wait = wait();
        let service = service_name();
        let profile = positional("PROFILE").help("A profile that exists");
        leaf_command(
            construct!(Service::Choose {
                wait,
                service,
                profile
            })
            .map(Action::Service),
        )
        .command("choose")
        .help("Let a service use another profile")
    };
    let add = {
        let service = service_name();
        let address = positional("ADDRESS").help("Where callers reach it, IP:PORT");
        let profile = positional("PROFILE").help("A profile that exists");
        leaf_command(
            construct!(Service::Add {
                service,
                address,
                profile
            })
            .map(Action::Service),
        )
        .command("add")
        .help("Add a service")
    };
    let get = leaf_command(service_name().map(Service::Get).map(Action::Service))
        .command("get")
        .help("Show a service");
    let list = leaf_command(bpaf::pure(Action::Service(Service::List)))
        .command("list")
        .help("Show all services");
    construct!([choose, add, get, list]).to_options()
}

fn instance() -> OptionParser<Invocation> {
    let undo = undo();
    let wait = wait();
    let name = positional("NAME").help("Name of the instance");
    leaf_command(construct!(Drain::Instance { undo, wait, name }).map(Action::Drain))
        .command("drain")
        .help("Let an instance hand its slices over, or stay after all")
        .to_options()
}

fn server() -> OptionParser<Invocation> {
    let undo = undo();
    let name = positional("NAME").help("Name of the server");
    leaf_command(construct!(Drain::Server { undo, name }).map(Action::Drain))
        .command("drain")
        .help("Let a server take no new work, or take it again")
        .to_options()
}

fn zone() -> OptionParser<Invocation> {
    let undo = long("undo").help("Use the zone's servers again").switch();
    let wait = wait();
    let name = positional("ZONE").help("Name of the availability zone");
    leaf_command(construct!(Drain::Zone { undo, wait, name }).map(Action::Drain))
        .command("evacuate")
        .help("Stop new work to a zone's servers until undone; open feeds stay")
        .to_options()
}

fn explain() -> impl Parser<Invocation> {
    let service = long("service")
        .help("The service that was asked")
        .argument("SERVICE");
    let caller = long("caller")
        .help("The caller's address, IP:PORT")
        .argument("ADDRESS");
    leaf_command(construct!(Action::Explain { service, caller }))
        .command("explain")
        .help("Show the decisions made for a caller, with reasons")
}

fn report() -> OptionParser<Invocation> {
    let plot = long("plot")
        .help("Draw the report into this file, SVG")
        .argument::<PathBuf>("FILE")
        .optional();
    leaf_command(construct!(Action::Burn { plot }))
        .command("burn")
        .help("Show how fast each service uses up its error budget")
        .to_options()
}

fn view() -> impl Parser<Invocation> {
    let address = positional("ADDRESS").help("Its status address, IP:PORT");
    leaf_command(construct!(Action::View(address)))
        .command("view")
        .help("Show the state of an entry instance on the users' platform")
}

fn completions() -> impl Parser<Invocation> {
    let shell = positional::<Shell>("SHELL").help("bash, zsh or fish");
    leaf_command(shell.map(Action::Completions))
        .command("completions")
        .help("Print a shell's completions")
}

/// The completion script of a shell for this program.
pub(crate) fn completion_script(shell: Shell) -> String {
    let argument = match shell {
        Shell::Bash => "--bpaf-complete-style-bash",
        Shell::Zsh => "--bpaf-complete-style-zsh",
        Shell::Fish => "--bpaf-complete-style-fish",
    };
    let arguments = [std::ffi::OsString::from(argument)];
    let arguments = bpaf::Args::from(&arguments[..]).set_name(PROGRAM_NAME);
    match options().run_inner(arguments) {
        Err(bpaf::ParseFailure::Completion(script)) => script,
        // The library responds to these arguments with a script only.
        _ => String::new(),
    }
}
