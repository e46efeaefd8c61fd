//! The platform's store, usage interface included, as its pages describe them.

use crate::http::{Request, read_request, respond};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    spec: Value,
    status: Value,
    revision: u64,
    created: u64,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    object: Value,
    is_removed: bool,
}

#[derive(Clone, Default)]
pub struct Contents {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The objects, which all machines share.
#[derive(Default)]
pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
    /// Rises when the store comes back from a copy.
    era: AtomicU64,
}

/// A machine's way to the store: its own port, and whether the way is cut.
#[derive(Clone)]
pub struct StorePath {
    pub address: SocketAddr,
    pub is_cut: Arc<AtomicBool>,
}

impl Object {
    fn to_json(&self, name: &str) -> Value {
        json!({"metadata": {"name": name, "revision": self.revision, "created": self.created,
            "finalizers": [], "deleting": false}, "spec": self.spec, "status": self.status})
    }
}

impl Contents {
    fn put(&mut self, kind: &str, name: &str, spec: Value) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key).filter(|known| known.spec == spec) {
            return known.to_json(name);
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self
            .objects
            .get(&key)
            .map_or(revision, |known| known.created);
        let object = Object {
            spec,
            status: Value::Null,
            revision,
            created,
        };
        let shown = object.to_json(name);
        self.objects.insert(key, object);
        self.record(kind, shown.clone(), false);
        shown
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = self.objects.remove(&key) else {
            return false;
        };
        self.revision += 1;
        object.revision = self.revision;
        self.record(kind, object.to_json(name), true);
        true
    }

    fn record(&mut self, kind: &str, object: Value, is_removed: bool) {
        let revision = self.revision;
        self.events.push(Event {
            revision,
            kind: kind.to_owned(),
            object,
            is_removed,
        });
    }
}

impl Store {
    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut contents = self.contents.lock().unwrap();
        contents.put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Returns a copy of all objects.
    pub fn copy(&self) -> Contents {
        self.contents.lock().unwrap().clone()
    }

    /// Lets the store come back from a copy.
    pub fn restore(&self, copy: Contents) {
        let mut contents = self.contents.lock().unwrap();
        *contents = copy;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Removes an object as a server does that leaves.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut contents = self.contents.lock().unwrap();
        contents.remove(kind, name);
        self.changed.notify_all();
    }

    /// Opens a machine's way to the store. Servers have an address for each machine, which
    /// `show` puts into their entries.
    pub fn serve(self: &Arc<Self>, show: impl Fn(&mut Value) + Send + Sync + 'static) -> StorePath {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let path = StorePath {
            address: listener.local_addr().unwrap(),
            is_cut: Arc::default(),
        };
        let (store, is_cut) = (Arc::clone(self), Arc::clone(&path.is_cut));
        let show = Arc::new(show);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, is_cut) = (Arc::clone(&store), Arc::clone(&is_cut));
                let show = Arc::clone(&show);
                spawn(move || store.serve_connection(stream, &is_cut, &*show));
            }
        });
        path
    }

    /// Serves one connection. While the way is cut nothing is read or answered, and what was
    /// under way is lost: the connection stays silent and ends with the cut.
    fn serve_connection(&self, stream: TcpStream, is_cut: &AtomicBool, show: &dyn Fn(&mut Value)) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if wait_for_cut_end(is_cut) {
                return;
            }
            sleep(Duration::from_millis(4));
            let (status, mut body) = self.answer(&request, is_cut);
            if wait_for_cut_end(is_cut) {
                return;
            }
            show(&mut body);
            let bytes = body.to_string().into_bytes();
            let era = self.era.load(Ordering::SeqCst).to_string();
            let headers = [
                ("Content-Type", "application/json"),
                ("Store-Era", era.as_str()),
            ];
            if respond(&mut writer, status, &headers, &bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, is_cut: &AtomicBool) -> (u16, Value) {
        let route = request.route().trim_matches('/').to_owned();
        let parts: Vec<&str> = route.split('/').collect();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        match (request.method.as_str(), parts.as_slice()) {
            ("POST", ["usage"]) | ("POST", ["scale"]) => (200, Value::Null),
            ("GET", ["objects", kind]) => match request.field("watch") {
                Some(after) => self.watch(kind, after.parse().unwrap_or(0), request, is_cut),
                None => self.list(kind),
            },
            ("GET", ["objects", kind, name]) => self.read(kind, name),
            ("POST", ["objects", kind]) => {
                let name = body["metadata"]["name"].as_str().unwrap_or("").to_owned();
                self.write(kind, &name, &body, true)
            }
            ("PUT", ["objects", kind, name]) => self.write(kind, name, &body, false),
            ("DELETE", ["objects", kind, name]) => {
                let is_removed = self.contents.lock().unwrap().remove(kind, name);
                self.changed.notify_all();
                (if is_removed { 200 } else { 404 }, Value::Null)
            }
            _ => (404, Value::Null),
        }
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let contents = self.contents.lock().unwrap();
        let of_kind = contents.objects.iter().filter(|((one, _), _)| one == kind);
        let items: Vec<Value> = of_kind.map(|((_, name), one)| one.to_json(name)).collect();
        (
            200,
            json!({"items": items, "truncated": false, "asOf": contents.revision}),
        )
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Value) {
        let contents = self.contents.lock().unwrap();
        match contents.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object.to_json(name)),
            None => (404, Value::Null),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &Value, is_new: bool) -> (u16, Value) {
        let mut contents = self.contents.lock().unwrap();
        let known = contents.objects.get(&(kind.to_owned(), name.to_owned()));
        let expected = body["metadata"]["revision"].as_u64();
        match (is_new, known) {
            (true, Some(known)) => return (409, known.to_json(name)),
            (false, None) => return (404, Value::Null),
            (false, Some(known)) if expected.is_some_and(|one| one != known.revision) => {
                return (409, known.to_json(name));
            }
            _ => {}
        }
        let shown = contents.put(kind, name, body["spec"].clone());
        self.changed.notify_all();
        (200, shown)
    }

    fn watch(
        &self,
        kind: &str,
        after: u64,
        request: &Request,
        is_cut: &AtomicBool,
    ) -> (u16, Value) {
        let wait_ms = request
            .field("waitMs")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut contents = self.contents.lock().unwrap();
        loop {
            if after > contents.revision {
                return (410, Value::Null);
            }
            let of_kind = contents.events.iter().filter(|one| one.kind == kind);
            let later = of_kind.filter(|one| one.revision > after);
            let events: Vec<Value> = later
                .map(|one| json!({"object": one.object, "removed": one.is_removed}))
                .collect();
            let is_over = Instant::now() >= end || is_cut.load(Ordering::Relaxed);
            if !events.is_empty() || is_over {
                return (200, json!({"events": events, "asOf": contents.revision}));
            }
            let slice = Duration::from_millis(20);
            contents = self.changed.wait_timeout(contents, slice).unwrap().0;
        }
    }
}

/// Returns whether the way was cut, once it isn't any more.
fn wait_for_cut_end(is_cut: &AtomicBool) -> bool {
    let was_cut = is_cut.load(Ordering::Relaxed);
    while is_cut.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(5));
    }
    was_cut
}
