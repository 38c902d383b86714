//! What is learned for each route, for a bounded number of routes.

use std::collections::BTreeMap;

use compact_str::CompactString;

/// Routes that are told apart.
const MAX_ROUTES: usize = 64;
/// Name under which all other routes count.
const OTHER_ROUTES: &str = "other";

/// A value for each route; routes beyond the bound share one.
#[derive(Debug, Clone, Default)]
pub struct RouteTable<T> {
    values: BTreeMap<CompactString, T>,
}

impl<T> RouteTable<T>
where
    T: Default,
{
    /// Returns the name under which a route counts, and its value.
    pub fn entry(&mut self, route: &str) -> (CompactString, &mut T) {
        let is_known = self.values.contains_key(route) || self.values.len() < MAX_ROUTES;
        let name = CompactString::from(if is_known { route } else { OTHER_ROUTES });
        let value = self.values.entry(name.clone()).or_default();
        (name, value)
    }

    /// Returns the value of a route, if it has one.
    pub fn get(&self, route: &str) -> Option<&T> {
        let known = self.values.get(route);
        known.or_else(|| self.values.get(OTHER_ROUTES))
    }

    /// Iterates over all values.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.values.values()
    }
}
