//! The platform's store and its API for duties.

use crate::http::{Reader, respond};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Largest number of objects on a page.
const PAGE: usize = 500;

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    /// Changes: revision, kind, object, whether it was removed.
    history: Vec<(u64, String, Value, bool)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &Value) -> Value {
    json!({
        "metadata": {"name": name, "revision": revision, "created": 1, "finalizers": [],
            "deleting": false},
        "spec": spec, "status": null,
    })
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: Value) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = self.objects.get(&key)
            && *known == spec
        {
            return object(name, *revision, known);
        }
        self.revision += 1;
        let whole = object(name, self.revision, &spec);
        self.history
            .push((self.revision, kind.to_owned(), whole.clone(), false));
        self.objects.insert(key, (self.revision, spec));
        whole
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        let Some((_, spec)) = removed else {
            return false;
        };
        self.revision += 1;
        let whole = object(name, self.revision, &spec);
        self.history
            .push((self.revision, kind.to_owned(), whole, true));
        true
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            objects: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                // The gateway may close the connection at any time.
                thread::spawn(move || store.serve(stream, &[]).unwrap_or_default());
            }
        });
        store
    }

    /// Returns another address of the store, whose answers have the second text of each pair in
    /// place of the first: a machine's own way to the runners.
    pub fn start_view(&self, replaced: Vec<(String, String)>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, replaced) = (store.clone(), replaced.clone());
                // The gateway may close the connection at any time.
                thread::spawn(move || store.serve(stream, &replaced).unwrap_or_default());
            }
        });
        address
    }

    /// Writes an object, as the operator and the runners do.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.objects.0.lock().expect("a lock").put(kind, name, spec);
        self.objects.1.notify_all();
    }

    /// Removes an object, as the platform does with the entry of a runner that has left.
    pub fn remove(&self, kind: &str, name: &str) {
        self.objects.0.lock().expect("a lock").remove(kind, name);
        self.objects.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, replaced: &[(String, String)]) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        loop {
            let head = reader.head()?;
            let body = reader.body(&head)?;
            // The store answers in 4 ms.
            thread::sleep(Duration::from_millis(4));
            let (status, answer) = self.answer(head.method(), head.path(), &body);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            let mut text = answer.to_string();
            for (from, to) in replaced {
                text = text.replace(from, to);
            }
            respond(&mut writer, status, &headers, text.as_bytes())?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let parts: Vec<&str> = path.split('/').skip(2).collect();
        let written: Value = serde_json::from_slice(body).unwrap_or_default();
        match (method, parts.as_slice()) {
            ("GET", [kind]) => match field("watch").and_then(|text| text.parse().ok()) {
                Some(from) => {
                    let wait = field("waitMs").and_then(|text| text.parse().ok());
                    self.watch(kind, from, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.page(kind, field("after")),
            },
            ("GET", [kind, name]) => {
                let objects = self.objects.0.lock().expect("a lock");
                let key = ((*kind).to_owned(), (*name).to_owned());
                match objects.objects.get(&key) {
                    Some((revision, spec)) => (200, object(name, *revision, spec)),
                    None => (404, json!({})),
                }
            }
            ("POST" | "PUT", [kind, ..]) => self.write(kind, method == "POST", &written),
            ("DELETE", [kind, name]) => {
                let is_removed = self.objects.0.lock().expect("a lock").remove(kind, name);
                self.objects.1.notify_all();
                (if is_removed { 200 } else { 404 }, json!({}))
            }
            _ => (400, json!({})),
        }
    }

    fn page(&self, kind: &str, after: Option<&str>) -> (u16, Value) {
        let objects = self.objects.0.lock().expect("a lock");
        let of_kind = objects.objects.iter().filter(|((one, name), _)| {
            one == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let mut items: Vec<Value> = of_kind
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let is_truncated = items.len() > PAGE;
        items.truncate(PAGE);
        let page = json!({"items": items, "truncated": is_truncated, "asOf": objects.revision});
        (200, page)
    }

    fn write(&self, kind: &str, is_new: bool, written: &Value) -> (u16, Value) {
        let name = written["metadata"]["name"].as_str().unwrap_or_default();
        let expected = written["metadata"]["revision"].as_u64();
        let mut objects = self.objects.0.lock().expect("a lock");
        let key = (kind.to_owned(), name.to_owned());
        let known = objects.objects.get(&key).cloned();
        let answer = match known {
            Some((revision, spec)) if is_new || expected.is_some_and(|one| one != revision) => {
                (409, object(name, revision, &spec))
            }
            None if !is_new => (404, json!({})),
            _ => (200, objects.put(kind, name, written["spec"].clone())),
        };
        drop(objects);
        self.objects.1.notify_all();
        answer
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, Value) {
        let end = Instant::now() + wait;
        let mut objects = self.objects.0.lock().expect("a lock");
        loop {
            let changes = objects.history.iter();
            let events: Vec<Value> = changes
                .filter(|(revision, one, _, _)| *revision > from && one == kind)
                .map(|(_, _, object, removed)| json!({"object": object, "removed": removed}))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "asOf": objects.revision}));
            }
            objects = self
                .objects
                .1
                .wait_timeout(objects, left)
                .expect("a lock")
                .0;
        }
    }
}

/// Starts the platform's API, which accepts every call of a duty.
pub fn start_platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || accept_calls(stream).unwrap_or_default());
        }
    });
    address
}

fn accept_calls(stream: TcpStream) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    loop {
        let head = reader.head()?;
        reader.body(&head)?;
        respond(&mut writer, 200, &[], b"{}")?;
    }
}
