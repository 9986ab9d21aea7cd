//! Stand-ins and scripts of the review. `review-standins-2 CASE OUT` runs a case and writes
//! `record.txt` into the folder OUT; with `TROUBLE=0` it runs without the disruption.

mod backend;
mod client;
mod gateway;
mod http;
mod record;
mod split;
mod stale_list;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code if the rule was broken, and if the case could not run.
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, out] = args.as_slice() else {
        eprintln!("usage: review-standins-2 CASE OUT");
        return NOT_RUN.into();
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let out = PathBuf::from(out);
    let result = match case.as_str() {
        "stale-list" => stale_list::run(&out, has_trouble),
        "split" => split::run(&out, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            println!("the rule was broken");
            BROKEN.into()
        }
        Err(e) => {
            println!("the case could not run: {e}");
            NOT_RUN.into()
        }
    }
}
