//! The platform's VM list, which lags behind the actual state of the VMs.

use std::{fmt::Debug, time::Duration};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::{
    error::CallError,
    http::{HttpClient, Reuse},
};

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A VM as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: String,
    /// Hall of the VM.
    pub hall: String,
    /// Address of an entry VM for other daemons, as `IP:port`.
    #[serde(default)]
    pub address: String,
    /// Purpose of the VM.
    #[serde(rename = "part")]
    pub purpose: VmPurpose,
    /// Whether it is about to be removed.
    #[serde(default)]
    pub leaving: bool,
}

/// Purpose of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPurpose {
    /// It runs a dahliaseam daemon.
    Entry,
    /// It runs endpoints.
    Endpoint,
}

/// Source of the VM list.
#[async_trait]
pub trait VmList: Debug + Send + Sync {
    /// Fetches the VMs that are live or leaving.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives.
    async fn vms(&self) -> Result<Vec<ListedVm>, CallError>;
}

/// The list as a JSON array, fetched over HTTP.
#[derive(Debug)]
pub struct HttpVmList {
    url: String,
    client: HttpClient,
}

impl HttpVmList {
    /// Creates a client of the list at `/vms` of `address`, given as `IP:port`.
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
