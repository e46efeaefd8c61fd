//! A stand-in for the platform's store, as PROTOCOL.md describes it.

use crate::http::{Reader, Request, response};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Key = (String, String);

/// Stands for the contents of an object that another writer made of the bytes FF FE 80,
/// which are no text, and how they come over the wire: as escapes of single halves of
/// surrogate pairs. The grammar of JSON allows them.
const UNREADABLE: &str = "@unreadable@";
const LARGE_NUMBER: &str = "\"@large@\"";
const UNREADABLE_ESCAPES: &str = r"\udcff\udcfe\udc80";

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: Value,
    status: Value,
}

#[derive(Clone)]
struct Change {
    revision: u64,
    key: Key,
    object: Object,
    is_removed: bool,
}

struct State {
    revision: u64,
    objects: BTreeMap<Key, Object>,
    history: Vec<Change>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    is_down: Arc<AtomicBool>,
}

fn json_object(name: &str, object: &Object) -> Value {
    json!({
        "metadata": {"name": name, "revision": object.revision, "created": 1,
                     "finalizers": [], "deleting": false},
        "spec": object.spec, "status": object.status,
    })
}

impl State {
    fn put(&mut self, key: &Key, spec: Value) -> Object {
        if let Some(object) = self.objects.get(key)
            && object.spec == spec
        {
            return object.clone();
        }
        self.revision += 1;
        let status = self
            .objects
            .get(key)
            .map_or(Value::Null, |object| object.status.clone());
        let object = Object {
            revision: self.revision,
            spec,
            status,
        };
        self.objects.insert(key.clone(), object.clone());
        self.history.push(Change {
            revision: self.revision,
            key: key.clone(),
            object: object.clone(),
            is_removed: false,
        });
        object
    }

    fn remove(&mut self, key: &Key) -> bool {
        let Some(mut object) = self.objects.remove(key) else {
            return false;
        };
        self.revision += 1;
        object.revision = self.revision;
        self.history.push(Change {
            revision: self.revision,
            key: key.clone(),
            object,
            is_removed: true,
        });
        true
    }
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let state = State {
            revision: 100,
            objects: BTreeMap::new(),
            history: Vec::new(),
        };
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            is_down: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    stream.set_nodelay(true).ok();
                    let mut reader = Reader::new(stream);
                    while let Ok(Some(request)) = reader.request() {
                        if store.is_down() {
                            return;
                        }
                        let (status, body) = store.respond(&request);
                        if store.is_down() {
                            return;
                        }
                        let headers = [("Content-Type", "application/json".to_owned())];
                        let body = body.to_string().replace(UNREADABLE, UNREADABLE_ESCAPES);
                        let body =
                            body.replace(LARGE_NUMBER, "{\"service\":\"app\",\"slots\":1e999}");
                        let bytes = response(status, &headers, body.as_bytes());
                        if reader.stream.write_all(&bytes).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes an object as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let (state, changed) = &*self.shared;
        let key = (kind.to_owned(), name.to_owned());
        let object = state.lock().expect("sound").put(&key, spec);
        changed.notify_all();
        object.revision
    }

    /// Writes an object whose contents are bytes that can't be read.
    pub fn put_unreadable(&self, kind: &str, name: &str) {
        // With `ENTRY=number`, a field holds a number that no reader takes for one.
        match std::env::var("ENTRY").is_ok_and(|value| value == "number") {
            true => self.put(kind, name, Value::from("@large@")),
            false => self.put(kind, name, Value::from(UNREADABLE)),
        };
    }

    /// Lets the store close each connection on which a call waits or comes.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.shared.1.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn respond(&self, request: &Request) -> (u16, Value) {
        let path: Vec<&str> = request.path().split('/').skip(2).collect();
        match (request.method.as_str(), path.as_slice()) {
            ("GET", [kind]) => match request.query("watch") {
                Some(from) => self.watch(kind, from, request.query("waitMs").unwrap_or(0)),
                None => self.list(kind),
            },
            ("GET", [kind, name]) => self.read(kind, name),
            ("POST", [kind]) => self.write(kind, None, request),
            ("PUT", [kind, name]) => self.write(kind, Some(name), request),
            ("DELETE", [kind, name]) => {
                let (state, changed) = &*self.shared;
                let key = ((*kind).to_owned(), (*name).to_owned());
                let is_removed = state.lock().expect("sound").remove(&key);
                changed.notify_all();
                (if is_removed { 200 } else { 404 }, json!({}))
            }
            _ => (400, json!({})),
        }
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let state = self.shared.0.lock().expect("sound");
        let of_kind = state.objects.iter().filter(|((one, _), _)| one == kind);
        let items: Vec<Value> = of_kind
            .map(|((_, name), object)| json_object(name, object))
            .collect();
        (
            200,
            json!({"items": items, "truncated": false, "asOf": state.revision}),
        )
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Value) {
        let state = self.shared.0.lock().expect("sound");
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, json_object(name, object)),
            None => (404, json!({})),
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, request: &Request) -> (u16, Value) {
        let Ok(written) = serde_json::from_slice::<Value>(&request.body) else {
            return (400, json!({}));
        };
        let in_body = written["metadata"]["name"]
            .as_str()
            .unwrap_or("")
            .to_owned();
        let is_create = name.is_none();
        let name = name.map_or(in_body, str::to_owned);
        let expected = written["metadata"]["revision"].as_u64();
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("sound");
        let key = (kind.to_owned(), name.clone());
        let answer = match state.objects.get(&key) {
            Some(object) if is_create || expected.is_some_and(|one| one != object.revision) => {
                (409, json_object(&name, object))
            }
            None if !is_create => (404, json!({})),
            _ => {
                let object = state.put(&key, written["spec"].clone());
                (
                    if is_create { 201 } else { 200 },
                    json_object(&name, &object),
                )
            }
        };
        changed.notify_all();
        answer
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, Value) {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("sound");
        loop {
            if from > state.revision {
                return (410, json!({}));
            }
            let of_kind = state
                .history
                .iter()
                .filter(|one| one.revision > from && one.key.0 == kind);
            let events: Vec<Value> = of_kind
                .map(|one| json!({"removed": one.is_removed, "object": json_object(&one.key.1, &one.object)}))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || self.is_down() {
                return (200, json!({"events": events, "asOf": state.revision}));
            }
            state = changed.wait_timeout(state, left).expect("sound").0;
        }
    }
}
