//! The command `galenactl class`: lists and changes classes.

use crate::client::Client;
use crate::options::{ChangeArgs, ClassCommand, CreateClass, Kind, TargetArgs};
use crate::output::{Table, print};
use crate::{CtlError, OutputFormat};
use galenapath_config::wire::{
    AcceptedWire, ChangeRequestWire, ChangeWire, ClassKindWire, ClassWire, ClassesWire,
    RemoveClassWire, SetTargetWire, TargetWire,
};

/// Author of a change if neither the arguments nor the environment give one.
const UNKNOWN_AUTHOR: &str = "unknown";

pub(crate) async fn run(
    client: &Client,
    format: OutputFormat,
    command: ClassCommand,
) -> Result<(), CtlError> {
    let (change, args) = match command {
        ClassCommand::List => return list(client, format).await,
        ClassCommand::Create(args) => create(args),
        ClassCommand::SetTarget(args) => {
            let target = target(&args.target);
            (ChangeWire::SetTarget(SetTargetWire { class: args.name, target }), args.change)
        }
        ClassCommand::Remove(args) => {
            (ChangeWire::RemoveClass(RemoveClassWire { class: args.name }), args.change)
        }
    };
    let accepted = send(client, change, args).await?;
    print(format, &accepted, accepted_table)
}

fn create(args: CreateClass) -> (ChangeWire, ChangeArgs) {
    let class = ClassWire {
        name: args.name,
        service: args.service,
        kind: match args.kind {
            Kind::Lookup => ClassKindWire::Lookup,
            Kind::Filing => ClassKindWire::Filing,
            Kind::Transfer => ClassKindWire::Transfer,
        },
        methods: args.methods,
        path_prefix: args.path,
        target: target(&args.target),
        revision: 0,
    };
    (ChangeWire::CreateClass(class), args.change)
}

fn target(args: &TargetArgs) -> TargetWire {
    TargetWire { latency_ms: args.latency_ms, share: args.share }
}

async fn list(client: &Client, format: OutputFormat) -> Result<(), CtlError> {
    let classes: ClassesWire = client.get("/v1/classes").await?;
    print(format, &classes, classes_table)
}

/// Sends a change based on the revision that the operator gave, or on the newest one.
async fn send(
    client: &Client,
    change: ChangeWire,
    args: ChangeArgs,
) -> Result<AcceptedWire, CtlError> {
    let base = match args.base {
        Some(base) => base,
        None => newest_revision(client, &change).await?,
    };
    let id = args.id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let author = args.author.unwrap_or_else(login_name);
    let req = ChangeRequestWire { id: id.clone(), author, base, change };
    let body = serde_json::to_vec(&req).map_err(|e| CtlError::Output(e.to_string()))?;
    match client.post("/v1/changes", &body).await {
        Err(e) if e.may_have_run() => Err(CtlError::Unknown { reason: e.to_string(), id, base }),
        result => result,
    }
}

async fn newest_revision(client: &Client, change: &ChangeWire) -> Result<u64, CtlError> {
    let classes: ClassesWire = client.get("/v1/classes").await?;
    let (name, must_exist) = match change {
        ChangeWire::CreateClass(class) => (&class.name, false),
        ChangeWire::SetTarget(change) => (&change.class, true),
        ChangeWire::RemoveClass(change) => (&change.class, true),
    };
    if must_exist && !classes.classes.iter().any(|class| class.name == *name) {
        return Err(CtlError::NoSuchClass(name.clone()));
    }
    let last_change = classes.marks.iter().find(|last| last.class == *name);
    Ok(last_change.map_or(0, |last| last.revision))
}

fn login_name() -> String {
    let name = std::env::var("USER").or_else(|_| std::env::var("LOGNAME"));
    name.ok().filter(|name| !name.is_empty()).unwrap_or_else(|| UNKNOWN_AUTHOR.to_owned())
}

fn accepted_table(accepted: &AcceptedWire) -> Table {
    let mut table = Table::new(&["VERSION", "KNOWN-BY"]);
    table.push_row(vec![accepted.version.to_string(), accepted.known_by.to_string()]);
    table
}

fn classes_table(classes: &ClassesWire) -> Table {
    let headings = ["NAME", "SERVICE", "KIND", "METHODS", "PATH", "LATENCY", "SHARE", "REVISION"];
    let mut table = Table::new(&headings);
    for class in &classes.classes {
        let methods = match class.methods.is_empty() {
            true => "any".to_owned(),
            false => class.methods.join(","),
        };
        table.push_row(vec![
            class.name.clone(),
            class.service.clone(),
            class.kind.to_string(),
            methods,
            class.path_prefix.clone(),
            format!("{} ms", class.target.latency_ms),
            class.target.share.to_string(),
            class.revision.to_string(),
        ]);
    }
    table
}
