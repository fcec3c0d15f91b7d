//! The platform's list of VMs, which lags.

use std::{fmt::Debug, time::Duration};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::{
    error::CallError,
    http::{HttpClient, Reuse},
};

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Its name.
    pub vm: String,
    /// Its hall.
    pub hall: String,
    /// For an entry VM, `IP:port` of its peer address.
    #[serde(default)]
    pub address: String,
    /// What it is for.
    pub part: VmPart,
    /// Whether it is about to go.
    #[serde(default)]
    pub leaving: bool,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPart {
    /// It runs a daemon of the system.
    Entry,
    /// It runs endpoints.
    Endpoint,
}

/// The list.
#[async_trait]
pub trait VmList: Debug + Send + Sync {
    /// The VMs that are live or leaving.
    ///
    /// # Errors
    /// Why there is no answer.
    async fn vms(&self) -> Result<Vec<ListedVm>, CallError>;
}

/// The list by HTTP, as a JSON array.
#[derive(Debug)]
pub struct HttpVmList {
    url: String,
    client: HttpClient,
}

impl HttpVmList {
    /// The list served at `address`, `IP:port`, under `/vms`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self { url: format!("http://{address}/vms"), client: HttpClient::new(Reuse::Keep) }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn vms(&self) -> Result<Vec<ListedVm>, CallError> {
        self.client.get(&self.url, CALL_TIMEOUT).await
    }
}
