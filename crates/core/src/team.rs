//! Teams of callers, identified by API keys.
//!
//! A caller's team is determined by its key alone, never by what the caller claims. Keys and teams are part of
//! one version of the configuration, so a request is checked once, against one version.

use std::{collections::HashMap, fmt, sync::Arc};

use crate::quota::Quota;

/// API key of a caller. Its text is never shown.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Key(Box<str>);

impl Key {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Box::from(text))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// What a caller presented as a key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// Nothing.
    #[default]
    Absent,
    /// No valid key: another scheme, more than one, or an empty one.
    Unusable,
    /// A key, which may be unknown.
    Key(Key),
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: Arc<str>,
    /// Priority of its requests, 0 is the most urgent; `None` to use the route's.
    pub priority: Option<u8>,
    /// Quota over all daemons; `None` if unlimited.
    pub quota: Option<Quota>,
}

/// Teams of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    by_key: HashMap<Key, Arc<Team>>,
    by_name: HashMap<Arc<str>, Arc<Team>>,
    has_quotas: bool,
}

impl Teams {
    /// Creates the table from teams, each with its keys.
    #[must_use]
    pub fn new(teams: impl Iterator<Item = (Team, Vec<Key>)>) -> Self {
        let mut by_key = HashMap::new();
        let mut by_name = HashMap::new();
        let mut has_quotas = false;
        for (team, keys) in teams {
            let team = Arc::new(team);
            has_quotas |= team.quota.is_some();
            by_key.extend(keys.into_iter().map(|key| (key, Arc::clone(&team))));
            by_name.insert(Arc::clone(&team.name), team);
        }
        Self { by_key, by_name, has_quotas }
    }

    /// Returns a team by name.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// Whether any team has a quota.
    #[must_use]
    pub const fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// Returns the team that has a key.
    #[must_use]
    pub fn find_by_key(&self, key: &Key) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }
}

/// On whose behalf a request runs.
#[derive(Clone, Debug, PartialEq)]
pub enum Identity {
    /// The configuration has no teams, so what the caller claims is passed on.
    NoTeams,
    /// The caller is unknown, and the route needs no key.
    Anonymous,
    /// A team, identified by its key.
    Team(Arc<Team>),
}

impl Identity {
    /// The team, if known.
    #[must_use]
    pub const fn team(&self) -> Option<&Arc<Team>> {
        match self {
            Self::Team(team) => Some(team),
            Self::NoTeams | Self::Anonymous => None,
        }
    }
}

/// Result of checking a caller's key against one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Authentication {
    /// The request runs on behalf of this identity.
    Allowed(Identity),
    /// The route needs a key, and the caller presented no valid one.
    NoKey,
    /// The route needs a key, and this version does not contain the presented one.
    UnknownKey,
}

/// Checks a key. `teams` is `None` if the configuration has no teams.
#[must_use]
pub fn authenticate(teams: Option<&Teams>, presented: &PresentedKey, is_anonymous: bool) -> Authentication {
    let Some(teams) = teams else {
        return Authentication::Allowed(Identity::NoTeams);
    };
    let team = match presented {
        PresentedKey::Key(key) => teams.find_by_key(key),
        PresentedKey::Absent | PresentedKey::Unusable => None,
    };
    match (team, presented) {
        (Some(team), _) => Authentication::Allowed(Identity::Team(Arc::clone(team))),
        (None, _) if is_anonymous => Authentication::Allowed(Identity::Anonymous),
        (None, PresentedKey::Key(_)) => Authentication::UnknownKey,
        (None, PresentedKey::Absent | PresentedKey::Unusable) => Authentication::NoKey,
    }
}
