//! Server for calls from other daemons, which must present the deployment's secret.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use dahliaseam_core::member::Contact;
use dahliaseam_wire::{
    operator::{RequestRecord, VmStatus},
    peer::{DemandReport, Marks, MarksAnswer, PeerClient, PeerServer, PoolDemand, Probe, ProbeAnswer},
    resource::Document,
};
use http::{StatusCode, header::AUTHORIZATION};
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{HttpBody, HttpRequest, HttpResponse, Server, ServerHandle},
};
use tower::{Layer, Service};

use crate::{emit, endpoint::duties, error::StartError, membership::peers, node::Node, operator};

/// Maximum number of connections from other daemons.
const MAX_CONNECTIONS: u32 = 4_096;

struct PeerHandler {
    node: Arc<Node>,
}

#[async_trait]
impl PeerServer for PeerHandler {
    async fn probe(&self, probe: Probe) -> RpcResult<ProbeAnswer> {
        Ok(peers::answer_probe(&self.node, probe))
    }

    async fn probe_via(&self, target: Contact) -> RpcResult<Option<(u64, u32)>> {
        let Some(client) = self.node.peers.get(&self.node, &target.address) else {
            return Ok(None);
        };
        let me = self.node.members().contact().clone();
        let probe = Probe {
            from: me,
            updates: Vec::new(),
            digest: dahliaseam_wire::peer::Digest::default(),
            closed_vms: Vec::new(),
            loads: Vec::new(),
        };
        let answer = client.probe(probe).await.ok();
        Ok(answer.map(|a| (a.start, a.refutation)))
    }

    async fn config(&self) -> RpcResult<Option<Document>> {
        let doc = self.node.document();
        Ok((doc.generation > 0).then(|| (*doc).clone()))
    }

    async fn marks(&self, marks: Marks) -> RpcResult<MarksAnswer> {
        let (shard, epoch, leaving) = (marks.shard.clone(), marks.epoch, marks.leaving.clone());
        let taken = self.node.availability.apply_marks(marks);
        if taken {
            duties::apply(&self.node);
        } else {
            emit!(warn, MARKS_REFUSED, shard, epoch);
        }
        let in_flight = leaving.into_iter().map(|name| {
            let (protected, others) = self.node.dispatcher.in_flight(&name);
            (name, protected, others)
        });
        Ok(MarksAnswer { taken, in_flight: in_flight.collect() })
    }

    async fn all_marks(&self) -> RpcResult<Vec<Marks>> {
        Ok(self.node.availability.marks())
    }

    async fn demand(&self) -> RpcResult<DemandReport> {
        let now = self.node.now();
        let doc = self.node.document();
        let pools = doc.pools.keys().filter_map(|pool| {
            let (short, long) = self.node.dispatcher.demand(pool, now)?;
            Some(PoolDemand { pool: pool.clone(), short, long })
        });
        Ok(DemandReport { pools: pools.collect() })
    }

    async fn explain(&self, request: String) -> RpcResult<Option<RequestRecord>> {
        Ok(self.node.records.get(&request))
    }

    async fn status(&self) -> RpcResult<VmStatus> {
        Ok(operator::status::vm_status(&self.node))
    }
}

/// Starts the server.
///
/// # Errors
/// Why the address cannot be bound.
pub async fn start(node: Arc<Node>) -> Result<ServerHandle, StartError> {
    let address = node.settings.peer_address.clone();
    let auth = tower::ServiceBuilder::new().layer(AuthLayer { node: Arc::clone(&node) });
    let config = jsonrpsee::server::ServerConfig::builder().max_connections(MAX_CONNECTIONS).build();
    let server = Server::builder()
        .set_config(config)
        .set_http_middleware(auth)
        .build(&address)
        .await
        .map_err(|e| StartError::Bind("peer_address", address, e))?;
    Ok(server.start(PeerHandler { node }.into_rpc()))
}

/// Refuses calls without the secret.
#[derive(Clone)]
struct AuthLayer {
    node: Arc<Node>,
}

impl<S> Layer<S> for AuthLayer {
    type Service = AuthService<S>;

    fn layer(&self, inner: S) -> AuthService<S> {
        AuthService { inner, node: Arc::clone(&self.node) }
    }
}

#[derive(Clone)]
struct AuthService<S> {
    inner: S,
    node: Arc<Node>,
}

impl<S, B> Service<HttpRequest<B>> for AuthService<S>
where
    S: Service<HttpRequest<B>, Response = HttpResponse>,
    S::Future: Send + 'static,
    S::Error: 'static,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, S::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: HttpRequest<B>) -> Self::Future {
        let expected = self.node.settings.peer_secret.bearer();
        let presented = req.headers().get(AUTHORIZATION).map(http::HeaderValue::as_bytes);
        if presented == Some(expected.as_bytes()) {
            return Box::pin(self.inner.call(req));
        }
        self.node.metrics.refused_call("peer");
        emit!(warn, PEER_REFUSED);
        let mut resp = HttpResponse::new(HttpBody::empty());
        *resp.status_mut() = StatusCode::UNAUTHORIZED;
        Box::pin(async move { Ok(resp) })
    }
}
