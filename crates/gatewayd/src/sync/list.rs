//! Lists of a kind on the platform's store, page by page.

use indexmap::{IndexMap, IndexSet};
use siskinstile_gateway::{
    Name,
    record::{self, Record},
};

use super::Follower;
use crate::store::{Answer, Call, Fault, Kind, Object, Position};

/// The objects of a kind.
pub(super) struct Listing {
    pub(super) objects: Vec<Object>,
    /// Position of the store at the first page.
    pub(super) position: Position,
    /// Whether all pages have been read.
    pub(super) is_complete: bool,
}

/// The pages of a list that have been read.
#[derive(Default)]
struct Pages {
    /// The objects; one that stands on two pages is kept once.
    objects: IndexMap<Name, Object>,
    /// Names after which pages have started.
    starts: IndexSet<Name>,
}

impl Follower {
    /// Lists all objects of a kind, page by page. A list that began before an outage is given up when the store
    /// answers again.
    ///
    /// If the store has more pages but shows no way to them, the list ends with the objects that have been read.
    pub(super) async fn list_all(&self, kind: Kind, stale: bool) -> Result<Listing, Fault> {
        let mut pages = Pages::default();
        let mut first_position = None;
        let mut after = None;
        loop {
            let answer = self.call_until_renewed(&Call::List { kind, after, stale }).await?;
            let Answer::Page { items, more, resume_point, position } = answer else {
                return Err(Fault::Lost);
            };
            let first_position = *first_position.get_or_insert(position);
            if first_position.era != position.era {
                return Err(Fault::Lost);
            }
            pages.add(items);
            after = resume_point.filter(|it| pages.start_after(it));
            if after.is_none() {
                if more {
                    self.log_incomplete(kind, &pages);
                }
                return Ok(pages.into_listing(first_position, !more));
            }
        }
    }

    fn log_incomplete(&self, kind: Kind, pages: &Pages) {
        let line = Record::new(record::LIST_INCOMPLETE)
            .with("kind", kind.as_str())
            .with("objects", pages.objects.len());
        self.log_counted(&line);
    }
}

impl Pages {
    fn add(&mut self, objects: Vec<Object>) {
        self.objects.extend(objects.into_iter().map(|it| (it.name.clone(), it)));
    }

    /// Records the name after which the next page starts; returns false if a page has started there before.
    fn start_after(&mut self, name: &Name) -> bool {
        self.starts.insert(name.clone())
    }

    fn into_listing(self, position: Position, is_complete: bool) -> Listing {
        Listing { objects: self.objects.into_values().collect(), position, is_complete }
    }
}
