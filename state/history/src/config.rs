//! The configuration in force: services, adapter versions and voters.

use std::collections::BTreeMap;

use decl::{Call, Declaration, ServiceKind};
use serde::{Deserialize, Serialize};
use wire::{AdapterId, ErrorKind, HostId, Index, Revision};

use crate::Hash;

/// A service in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// The service's declaration.
    pub declaration: Declaration,
    /// SHA-256 digest of the declaration file.
    pub digest: Hash,
    /// The log index that brought it into force.
    pub index: Index,
}

/// An adapter version that is or was in force. Its number is never reused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterInfo {
    /// Number of the adapter version, which is its index in [`Config::names`].
    pub id: AdapterId,
    /// Full name: `model@adapter@version`.
    pub name: String,
    /// Whether a declaration in force names it.
    pub declared: bool,
    /// The services whose declarations in force name it, sorted.
    pub services: Vec<String>,
}

/// The configuration in force at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The log index of the last accepted change.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<String, ServiceInfo>,
    /// Adapter versions by full name.
    pub adapters: BTreeMap<String, AdapterInfo>,
    /// Full names of adapter versions by number.
    pub names: Vec<String>,
    /// The hosts that should be voters; empty while no declaration names them.
    pub voters: Vec<HostId>,
}

impl Config {
    /// Finds an adapter version that a declaration in force names.
    ///
    /// Fails with [`ErrorKind::WrongVersion`] if only other versions of the adapter are
    /// declared, and otherwise with [`ErrorKind::UnknownAdapter`].
    pub fn resolve(&self, name: &str) -> Result<&AdapterInfo, ErrorKind> {
        if let Some(info) = self.adapters.get(name)
            && info.declared
        {
            return Ok(info);
        }
        if self.declares_other_version(name) {
            return Err(ErrorKind::WrongVersion);
        }
        Err(ErrorKind::UnknownAdapter)
    }

    fn declares_other_version(&self, name: &str) -> bool {
        let mut parts = name.splitn(3, '@');
        let (Some(base), Some(adapter)) = (parts.next(), parts.next()) else {
            return false;
        };
        let prefix = format!("{base}@{adapter}@");
        let versions = self.adapters.range(prefix.clone()..);
        versions.take_while(|it| it.0.starts_with(&prefix)).any(|it| it.1.declared)
    }

    /// Finds the declared call of a request.
    ///
    /// A request that names a model may omit the service and the call. The default service is
    /// the first one by name that declares the adapter and has the call; the default call is
    /// the first one of the service's file.
    ///
    /// Fails like [`Config::resolve`], with [`ErrorKind::UnknownAdapter`] also if the named
    /// service does not declare the adapter, and with [`ErrorKind::UnknownService`] if there is
    /// no such service or call.
    pub fn call(
        &self,
        service: Option<&str>,
        call: Option<&str>,
        adapter_name: Option<&str>,
    ) -> Result<&Call, ErrorKind> {
        let Some(adapter_name) = adapter_name else {
            let service = service.ok_or(ErrorKind::UnknownService)?;
            let call = call.ok_or(ErrorKind::UnknownService)?;
            return self.service_call(service, Some(call), false);
        };
        let adapter = self.resolve(adapter_name)?;
        if let Some(service) = service {
            let call = self.service_call(service, call, true)?;
            let declares = adapter.services.iter().any(|it| it == service);
            return if declares { Ok(call) } else { Err(ErrorKind::UnknownAdapter) };
        }
        for service in &adapter.services {
            if let Ok(call) = self.service_call(service, call, true) {
                return Ok(call);
            }
        }
        Err(ErrorKind::UnknownService)
    }

    fn service_call(
        &self,
        service: &str,
        call: Option<&str>,
        names_model: bool,
    ) -> Result<&Call, ErrorKind> {
        let info = self.services.get(service).ok_or(ErrorKind::UnknownService)?;
        let declaration = &info.declaration;
        if names_model != matches!(declaration.kind, ServiceKind::Model { .. }) {
            return Err(ErrorKind::UnknownService);
        }
        let name = call.or(declaration.first_call.as_deref()).ok_or(ErrorKind::UnknownService)?;
        declaration.calls.get(name).ok_or(ErrorKind::UnknownService)
    }

    /// Puts a service into force in place of its previous declaration. The cost grows with the
    /// adapters of these two declarations only, not with all adapters in force.
    pub(crate) fn put(&mut self, info: ServiceInfo) {
        let service = info.declaration.service.clone();
        if let Some(previous) = self.services.get(&service) {
            for name in previous.declaration.adapter_names() {
                self.withdraw(&service, &name);
            }
        }
        for name in info.declaration.adapter_names() {
            self.declare(&service, name);
        }
        if let ServiceKind::System { voters } = &info.declaration.kind {
            self.voters = voters.clone();
        }
        self.revision = info.index;
        self.services.insert(service, info);
    }

    fn declare(&mut self, service: &str, name: String) {
        let adapter = self.adapters.entry(name).or_insert_with_key(|name| {
            let id = self.names.len() as AdapterId;
            self.names.push(name.clone());
            AdapterInfo { id, name: name.clone(), declared: false, services: Vec::new() }
        });
        adapter.declared = true;
        if let Err(idx) = adapter.services.binary_search_by(|it| it.as_str().cmp(service)) {
            adapter.services.insert(idx, service.to_owned());
        }
    }

    fn withdraw(&mut self, service: &str, name: &str) {
        let Some(adapter) = self.adapters.get_mut(name) else {
            return;
        };
        adapter.services.retain(|it| it != service);
        adapter.declared = !adapter.services.is_empty();
    }
}
