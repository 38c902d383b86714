//! One item of the replica, and how it passes from one era of the store to the next.
//!
//! When the store returns from an older copy, its items are some seconds old, and
//! those written since are gone until their writers write them again. What this host
//! already knew to be newer stays in effect until then: an item that the copy lacks
//! is kept, and an item that is known to be replaced or deleted is held back, for
//! [`super::store_replica::SETTLE_TIME`]. An endpoint that is known to be leaving stays
//! so until it is announced anew.

use super::{
    configuration::ConfigurationVersion,
    endpoint::AnnouncementOrder, //
};
use crate::{
    platform::store::ItemChange,
    store_position::StoreRevision, //
};

/// Effect of a change on an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The item has a new value, or is in use again.
    Write,
    /// The item no longer exists.
    Delete,
    /// Nothing changed.
    None,
}

/// An item, or the deletion of one.
#[derive(Debug, Clone, Default)]
pub struct Entry {
    /// Revision of the last change; 0 if this era of the store has not shown any.
    pub revision: StoreRevision,
    /// Value; none if the item was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the last write, also after a deletion and in the next era.
    written: StoreRevision,
    /// Newest announcement, if the item is an endpoint.
    order: Option<AnnouncementOrder>,
    /// Version, if the item is the configuration.
    version: ConfigurationVersion,
    /// The item is known from the previous era, and this one has not changed it yet.
    is_carried_over: bool,
    /// A page of all items of this era lacks the item.
    is_absent: bool,
    /// Value in the copy, although the item is known to have been deleted since.
    held_back: Option<Vec<u8>>,
}

impl Entry {
    /// Returns whether this era of the store has shown the item.
    pub fn is_shown_item(&self) -> bool {
        self.shown_value().is_some() && self.revision > StoreRevision(0)
    }

    /// Returns the value for other hosts, which hold it back or not by what they know
    /// themselves.
    pub fn shown_value(&self) -> Option<&Vec<u8>> {
        self.value.as_ref().or(self.held_back.as_ref())
    }

    /// Returns the version, if the item is the configuration.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// Sets the value of the configuration.
    pub fn set_configuration(&mut self, value: Option<Vec<u8>>, version: ConfigurationVersion) {
        self.value = value;
        self.version = version;
    }

    /// Records that all revisions from now on are of the next era.
    pub fn begin_era(&mut self) {
        self.revision = StoreRevision(0);
        self.is_carried_over = true;
        self.held_back = None;
    }

    /// Returns whether something newer than a change in a page of all items was known
    /// before the era began.
    ///
    /// Announcements are ordered by their numbers, and one that cannot be decoded comes
    /// before all others. Any other item that was deleted is recognised by the revision
    /// of its last write, which the copy shows again.
    pub fn knows_newer(
        &self,
        change: &ItemChange,
        is_endpoint: bool,
        order: Option<AnnouncementOrder>,
    ) -> bool {
        if !self.is_carried_over {
            return false;
        }
        let is_deleted = self.value.is_none();
        match self.order.filter(|_| is_endpoint) {
            Some(known) => order < Some(known) || (is_deleted && order == Some(known)),
            None => is_deleted && change.revision == self.written,
        }
    }

    /// Keeps the known state although the copy shows `value`.
    pub fn hold_back(&mut self, revision: StoreRevision, value: Option<Vec<u8>>) -> Merge {
        self.revision = revision;
        if self.value.is_none() {
            self.held_back = value;
            return Merge::None;
        }
        match std::mem::take(&mut self.is_absent) {
            true => Merge::Write,
            false => Merge::None,
        }
    }

    /// Writes or deletes the item.
    pub fn write(
        &mut self,
        revision: StoreRevision,
        value: Option<Vec<u8>>,
        order: Option<AnnouncementOrder>,
    ) -> Merge {
        let was_absent = std::mem::take(&mut self.is_absent);
        let is_new = self.value != value || (was_absent && value.is_some());
        self.is_carried_over = false;
        self.held_back = None;
        self.revision = revision;
        self.order = order.or(self.order);
        if value.is_some() {
            self.written = revision;
        }
        self.value = value;
        match (is_new, &self.value) {
            (false, _) => Merge::None,
            (true, Some(_)) => Merge::Write,
            (true, None) => Merge::Delete,
        }
    }

    /// Records that a page of all items, complete up to `revision`, lacks the item.
    ///
    /// An item that was carried over is still kept; with `is_kept` it also stays in
    /// effect.
    pub fn mark_absent(&mut self, revision: StoreRevision, is_kept: bool) -> Merge {
        self.held_back = None;
        if self.value.is_none() {
            return Merge::None;
        }
        if !self.is_carried_over {
            return match self.revision < revision {
                true => self.write(revision, None, None),
                false => Merge::None,
            };
        }
        match !std::mem::replace(&mut self.is_absent, true) && !is_kept {
            true => Merge::Delete,
            false => Merge::None,
        }
    }

    /// Ends the time in which the item is carried over; `is_kept` keeps its value.
    pub fn settle(&mut self, is_kept: bool, revision: StoreRevision) -> Merge {
        let was_carried_over = std::mem::take(&mut self.is_carried_over);
        let is_absent = std::mem::take(&mut self.is_absent);
        if is_kept || !was_carried_over {
            return Merge::None;
        }
        match self.held_back.take() {
            Some(value) => self.write(revision, Some(value), None),
            None if is_absent => self.write(revision, None, None),
            None => Merge::None,
        }
    }
}
