//! Serves tunnels to peers.
//!
//! A response may end with its connection, so the end of a tunnel must tell whether the replica closed the connection or
//! it broke: a tunnel whose replica connection broke is reset.

use std::{convert::Infallible, io, io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use dahliaseam_core::fleet::path::Path;
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::{body::Incoming, server::conn::http1, service::service_fn, upgrade::OnUpgrade};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::{OwnedSemaphorePermit, Semaphore},
};

use crate::{
    emit,
    gateway::{
        state::Gateway,
        tunnel::{CONNECT_TIMEOUT, NOBODY_LISTENS, Outcome, PROXY_STATUS, STOPPING},
        upstream::configure_socket,
    },
};

/// Time in which the request for a tunnel must arrive after its connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a peer may take to close a tunnel after the replica has. Closing it first while the rest of a request
/// arrives would reset it, and the peer could lose the end of the response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Number of other replicas of which one must be reached before a refused connection counts as the replica's.
const OTHERS_TO_REACH: usize = 3;
/// Size of the buffer for requests, in bytes.
const BUF_BYTES: usize = 8 << 10;
/// Delay after accepting a connection failed, for example because no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves tunnels until no more connections are accepted.
pub(in crate::gateway) async fn run(gw: Arc<Gateway>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(gw.settings.tunnels()));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gw.stop.closing.cancelled() => return,
        };
        match (accepted, Arc::clone(&permits).try_acquire_owned()) {
            (Ok((stream, peer)), Ok(permit)) => {
                gw.stop.tunnels.spawn(serve(Arc::clone(&gw), stream, peer, permit));
            }
            (Ok(_), Err(_)) => gw.metrics.tunnel_served(Outcome::Busy.name()),
            (Err(_), _) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve(gw: Arc<Gateway>, stream: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
    if configure_socket(&stream).is_err() {
        return;
    }
    let permit = Arc::new(permit);
    let service = service_fn(|req| open(Arc::clone(&gw), req, peer, Arc::clone(&permit)));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    // An error concerns the peer, which notices it too.
    let _ = conn.await;
}

/// Opens the tunnel that is requested.
async fn open(
    gw: Arc<Gateway>,
    mut req: Request<Incoming>,
    peer: SocketAddr,
    permit: Arc<OwnedSemaphorePermit>,
) -> Result<Response<Empty<Bytes>>, Infallible> {
    let outcome = match connect(&gw, &req).await {
        Ok(replica) => {
            let upgrade = hyper::upgrade::on(&mut req);
            gw.stop.tunnels.spawn(async move {
                relay(upgrade, replica).await;
                drop(permit);
            });
            Outcome::Opened
        }
        Err(outcome) => outcome,
    };
    gw.metrics.tunnel_served(outcome.name());
    emit!(debug, TUNNEL_SERVED, peer = %peer, target = %req.uri(), outcome = %outcome);
    let mut resp = Response::new(Empty::new());
    *resp.status_mut() = match outcome {
        Outcome::Opened => StatusCode::OK,
        Outcome::Forbidden => StatusCode::FORBIDDEN,
        Outcome::Busy | Outcome::NoResponse => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::NobodyListens => StatusCode::BAD_GATEWAY,
        Outcome::Unreachable => StatusCode::GATEWAY_TIMEOUT,
    };
    match outcome {
        Outcome::NobodyListens => {
            resp.headers_mut().insert(PROXY_STATUS, NOBODY_LISTENS);
        }
        Outcome::Opened if gw.stop.begun.is_cancelled() => {
            resp.headers_mut().insert(PROXY_STATUS, STOPPING);
        }
        _ => {}
    }
    Ok(resp)
}

/// Connects to the replica that a request names.
async fn connect(gw: &Gateway, req: &Request<Incoming>) -> Result<TcpStream, Outcome> {
    let authority = req.uri().authority().filter(|_| req.method() == Method::CONNECT);
    let address: Option<SocketAddr> = authority.and_then(|authority| authority.as_str().parse().ok());
    let (address, path) = {
        let fleet = gw.fleet();
        let replica = address.and_then(|address| fleet.get(fleet.at_address(address)?)).ok_or(Outcome::Forbidden)?;
        (replica.facts.address, replica.path.path())
    };
    if path == Path::ThroughPeers {
        return Err(Outcome::Busy);
    }
    match tokio::time::timeout(CONNECT_TIMEOUT, gw.deps.dialer.connect(address)).await {
        Ok(Ok(stream)) if configure_socket(&stream).is_ok() => Ok(stream),
        // If this daemon's own paths are cut, a refusal says nothing about the replica.
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused && reaches_others(gw, address).await => {
            Err(Outcome::NobodyListens)
        }
        _ => Err(Outcome::Unreachable),
    }
}

/// Whether this daemon reaches any of some other replicas itself, or knows no other one.
async fn reaches_others(gw: &Gateway, address: SocketAddr) -> bool {
    let others: Vec<SocketAddr> = {
        let fleet = gw.fleet();
        let all = fleet.sample_on_path(Path::Direct, OTHERS_TO_REACH + 1, gw.random()).into_iter();
        all.filter_map(|key| Some(fleet.get(key)?.facts.address)).filter(|other| *other != address).collect()
    };
    if others.is_empty() {
        return gw.fleet().count_through_peers() == 0;
    }
    let mut connecting: FuturesUnordered<_> = others.into_iter().map(|other| gw.deps.dialer.connect(other)).collect();
    let any = async {
        while let Some(connected) = connecting.next().await {
            if connected.is_ok() {
                return true;
            }
        }
        false
    };
    tokio::time::timeout(CONNECT_TIMEOUT, any).await.unwrap_or(false)
}

async fn relay(upgrade: OnUpgrade, mut replica: TcpStream) {
    let Ok(upgraded) = upgrade.await else { return };
    let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() else { return };
    let mut client = parts.io.into_inner();
    // Also if this process ends, the tunnel must not end as if the replica had closed it. With a linger time of zero,
    // closing the socket resets the connection.
    if client.set_zero_linger().is_err() || replica.write_all(&parts.read_buf).await.is_err() {
        return;
    }
    match copy_until_end(&mut client, &mut replica).await {
        End::ClientLeft | End::ReplicaBroke => {}
        End::ReplicaClosed => {
            drop(replica);
            let _ = tokio::time::timeout(LINGER_TIME, close(&mut client)).await;
        }
    }
}

/// How a tunnel ended.
enum End {
    /// The peer closed it, or the connection to the peer broke.
    ClientLeft,
    ReplicaClosed,
    ReplicaBroke,
}

/// Copies in both directions until one side ends.
async fn copy_until_end(client: &mut TcpStream, replica: &mut TcpStream) -> End {
    let (mut client_rx, mut client_tx) = client.split();
    let (mut replica_rx, mut replica_tx) = replica.split();
    tokio::select! {
        biased;
        copied = tokio::io::copy(&mut replica_rx, &mut client_tx) => match copied {
            Ok(_) => End::ReplicaClosed,
            Err(_) => End::ReplicaBroke,
        },
        () = forward_until_left(&mut client_rx, &mut replica_tx) => End::ClientLeft,
    }
}

/// Forwards requests until the peer closes the tunnel or the connection to it breaks.
async fn forward_until_left(client: &mut ReadHalf<'_>, replica: &mut WriteHalf<'_>) {
    let mut buf = vec![0; BUF_BYTES];
    let mut is_read = true;
    while let Ok(n @ 1..) = client.read(&mut buf).await {
        // A replica may respond without reading the whole request; the end of its response tells how that went.
        is_read = is_read && replica.write_all(&buf[..n]).await.is_ok();
    }
}

/// Closes a connection regularly, after the other side has read everything and closed it.
async fn close(stream: &mut TcpStream) -> io::Result<()> {
    SockRef::from(&*stream).set_linger(None)?;
    stream.shutdown().await?;
    let mut buf = [0; 1_024];
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}
