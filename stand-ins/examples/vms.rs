//! Runs the VM list stand-in as a process.

use bpaf::Parser;
use stand_ins::vms::VmList;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let address = bpaf::long("address")
        .help("IP:port to listen on; port 0 selects a free one")
        .argument::<String>("ADDRESS")
        .fallback("127.0.0.1:0".to_owned());
    let address = address.to_options().run();
    let server = VmList::start(&address).await?;
    println!("listening {}", server.server().address());
    server.serve_forever().await;
    Ok(())
}
