//! Bodies of requests that are on their way to backend servers, and the end of one that stands still when its slot is
//! needed.

use futures::task::AtomicWaker;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::Waker;
use steering::machine::{Waiting, longest_waiting};
use tokio::time::Instant;

/// The bodies that are on their way.
#[derive(Default)]
pub struct Uploads {
    next_id: AtomicU64,
    by_id: Mutex<HashMap<u64, Arc<Upload>>>,
}

/// A body that is on its way.
struct Upload {
    service: Arc<str>,
    /// Since when its next part is awaited; `None` while it is not.
    awaited_since: Mutex<Option<Instant>>,
    is_ended: AtomicBool,
    waker: AtomicWaker,
}

impl Uploads {
    /// Adds a body of a request of a service, until the result is dropped.
    pub fn add(self: &Arc<Self>, service: &Arc<str>) -> UploadGuard {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let upload = Arc::new(Upload {
            service: service.clone(),
            awaited_since: Mutex::default(),
            is_ended: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        });
        self.by_id.lock().insert(id, upload.clone());
        UploadGuard { uploads: self.clone(), id, upload }
    }

    /// Ends the body of a service that stands still longest, if one does.
    pub fn end_one(&self, service: &str) {
        let mut by_id = self.by_id.lock();
        let waiting = by_id.iter().filter(|(_, upload)| *upload.service == *service);
        let waiting = waiting.filter_map(|(id, upload)| {
            let since = (*upload.awaited_since.lock())?;
            Some((*id, Waiting::Upload, since.elapsed()))
        });
        let Some((id, _, waited)) = longest_waiting(waiting) else { return };
        let Some(upload) = by_id.remove(&id) else { return };
        log::info!(
            "upload to {service} ended, as its slot is needed and it stands still for {waited:?}"
        );
        upload.is_ended.store(true, Ordering::Release);
        upload.waker.wake();
    }
}

/// Counts a body as on its way until this is dropped.
pub struct UploadGuard {
    uploads: Arc<Uploads>,
    id: u64,
    upload: Arc<Upload>,
}

impl UploadGuard {
    /// Returns whether the body was ended; if not, `waker` is woken when it is.
    pub fn is_ended(&self, waker: &Waker) -> bool {
        self.upload.waker.register(waker);
        self.upload.is_ended.load(Ordering::Acquire)
    }

    /// Records whether the next part of the body is awaited.
    pub fn set_awaited(&self, is_awaited: bool) {
        let mut since = self.upload.awaited_since.lock();
        *since = is_awaited.then(|| since.unwrap_or_else(Instant::now));
    }
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.uploads.by_id.lock().remove(&self.id);
    }
}
