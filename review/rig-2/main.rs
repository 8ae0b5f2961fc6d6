//! The stand-ins and the drivers of the cases in `review/6` and later. It needs nothing but the
//! standard library; `review/build-2.sh` builds it.

mod deadly;
mod descriptors;
mod fleet;
mod kit;
mod leave;
mod memory;
mod reborn;
mod revoked;
mod runner;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("runner") => runner::main(&args[1..]),
        Some("leave") => leave::main(&args[1]),
        Some("deadly") => deadly::main(&args[1]),
        Some("reborn") => reborn::main(&args[1]),
        Some("revoked") => revoked::main(&args[1]),
        Some("idle") => descriptors::idle(&args[1..]),
        Some("descriptors") => descriptors::main(&args[1]),
        Some("memory") => memory::main(&args[1]),
        _ => {
            eprintln!("usage: rig runner|leave|deadly|memory|reborn|revoked|descriptors ...");
            std::process::exit(2);
        }
    }
}
