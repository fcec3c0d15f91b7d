//! Teams of callers, and the keys by which a daemon knows them.
//!
//! A caller's team comes from its key alone, never from what it says of itself. Keys and teams are part
//! of one version of the configuration, so that a request is judged once, by one version.

use std::{collections::HashMap, fmt, sync::Arc};

use crate::quota::Quota;

/// A caller's key. It is never shown.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Key(Box<str>);

impl Key {
    /// A key as it was given.
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

/// What a caller gave for a key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// Nothing.
    #[default]
    Absent,
    /// Something that is no key: another scheme, more than one, or none at all after the scheme.
    Unusable,
    /// A key, known or not.
    Key(Key),
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: Arc<str>,
    /// Rank of its requests, 0 the most urgent; absent where the route's counts.
    pub priority: Option<u8>,
    /// What it may use, over all daemons; absent where that has no limit.
    pub quota: Option<Quota>,
}

/// The teams of one version of the configuration, by key.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    by_key: HashMap<Key, Arc<Team>>,
    by_name: HashMap<Arc<str>, Arc<Team>>,
    has_quotas: bool,
}

impl Teams {
    /// Teams, each with its keys.
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

    /// The team of a name.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// Whether any team has a quota.
    #[must_use]
    pub const fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// The team that has a key.
    #[must_use]
    pub fn find_by_key(&self, key: &Key) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }
}

/// On whose behalf a request runs.
#[derive(Clone, Debug, PartialEq)]
pub enum Identity {
    /// The configuration has no teams, so what the caller says of itself is passed on.
    NoTeams,
    /// Nobody is known, and the route asks for no key.
    Anonymous,
    /// A team, by its key.
    Team(Arc<Team>),
}

impl Identity {
    /// The team, if one is known.
    #[must_use]
    pub const fn team(&self) -> Option<&Arc<Team>> {
        match self {
            Self::Team(team) => Some(team),
            Self::NoTeams | Self::Anonymous => None,
        }
    }
}

/// How a caller's key is judged by one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The request runs on this behalf.
    Allowed(Identity),
    /// It needs a key, and none came that can be one.
    NoKey,
    /// It needs a key, and this version does not know the one that came.
    UnknownKey,
}

/// Judge a key; `teams` are absent where the configuration has none.
#[must_use]
pub fn authenticate(teams: Option<&Teams>, presented: &PresentedKey, is_anonymous: bool) -> Verdict {
    let Some(teams) = teams else {
        return Verdict::Allowed(Identity::NoTeams);
    };
    let team = match presented {
        PresentedKey::Key(key) => teams.find_by_key(key),
        PresentedKey::Absent | PresentedKey::Unusable => None,
    };
    match (team, presented) {
        (Some(team), _) => Verdict::Allowed(Identity::Team(Arc::clone(team))),
        (None, _) if is_anonymous => Verdict::Allowed(Identity::Anonymous),
        (None, PresentedKey::Key(_)) => Verdict::UnknownKey,
        (None, PresentedKey::Absent | PresentedKey::Unusable) => Verdict::NoKey,
    }
}
