#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Answer to a write whose condition did not hold."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
pub struct ConflictAnswer {
    #[doc = "What the object is now; absent when it doesn't exist."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub current: ::std::option::Option<StoredObject>,
}
#[doc = "A host of the system."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct FleetHost {
    #[doc = "Its data centre."]
    pub data_centre: ::std::string::String,
    #[doc = "Its name."]
    pub name: ::std::string::String,
    #[doc = "Whether it stays."]
    pub state: FleetState,
}
#[doc = "Live and leaving hosts and upstreams, some time after it was true."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct FleetList {
    #[doc = "Hosts of the system."]
    pub hosts: ::std::vec::Vec<FleetHost>,
    #[doc = "Upstreams."]
    pub upstreams: ::std::vec::Vec<FleetUpstream>,
}
#[doc = "Whether a host or upstream stays."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum FleetState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for FleetState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for FleetState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for FleetState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for FleetState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "An upstream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct FleetUpstream {
    #[doc = "Its data centre."]
    pub data_centre: ::std::string::String,
    #[doc = "Its name."]
    pub name: ::std::string::String,
    #[doc = "What it is, when it was ordered and no configuration names it."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub ordered: ::std::option::Option<OrderedUpstream>,
    #[doc = "Whether it stays."]
    pub state: FleetState,
}
#[doc = "A write seen by a watch."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ObjectChange {
    #[doc = "Key of the object."]
    pub key: ::std::string::String,
    #[doc = "The value written; absent when the object was deleted."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<::serde_json::Value>,
    #[doc = "Version of the write."]
    pub version: u64,
}
#[doc = "All objects under a prefix."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ObjectList {
    #[doc = "The objects, by rising key."]
    pub objects: ::std::vec::Vec<StoredObject>,
    #[doc = "Highest version in the store when the list was read."]
    pub version: u64,
}
#[doc = "Answer to an order for upstreams."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OrderAnswer {
    #[doc = "The order that was accepted."]
    pub id: ::std::string::String,
}
#[doc = "An upstream that was delivered for an order."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OrderedUpstream {
    #[doc = "Where it listens, as IP:PORT."]
    pub address: ::std::string::String,
    #[doc = "Models that it serves."]
    pub models: ::std::vec::Vec<::std::string::String>,
    #[doc = "The order it was delivered for."]
    pub order: ::std::string::String,
    #[doc = "How it was bought."]
    pub supply: UpstreamSupply,
}
#[doc = "An object of the versioned object API."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct StoredObject {
    #[doc = "Its key."]
    pub key: ::std::string::String,
    #[doc = "Its value."]
    pub value: ::serde_json::Value,
    #[doc = "Changes with each write of the object; never used twice."]
    pub version: u64,
}
#[doc = "What an order for upstreams changes."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum SupplyChange {
    #[doc = "More upstreams."]
    #[serde(rename = "add")]
    Add(SupplyRequest),
    #[doc = "Give one upstream back."]
    #[serde(rename = "release")]
    Release(::std::string::String),
}
impl ::std::convert::From<SupplyRequest> for SupplyChange {
    fn from(value: SupplyRequest) -> Self {
        Self::Add(value)
    }
}
#[doc = "Upstreams that are wanted."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct SupplyRequest {
    #[doc = "How many."]
    pub count: u32,
    #[doc = "The model they are to serve."]
    pub model: ::std::string::String,
    #[doc = "How they are bought."]
    pub supply: UpstreamSupply,
}
#[doc = "An order for more upstreams, or for giving some back."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UpstreamOrder {
    #[doc = "What is ordered."]
    pub change: SupplyChange,
    #[doc = "Where the upstreams are to stand."]
    pub data_centre: ::std::string::String,
    #[doc = "Epoch of the lease under which the order was recorded."]
    pub epoch: u64,
    #[doc = "Identifies the order; a repeat with the same identifier has no further effect."]
    pub id: ::std::string::String,
}
#[doc = "How an upstream is bought."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum UpstreamSupply {
    #[serde(rename = "reserved")]
    Reserved,
    #[serde(rename = "reclaimable")]
    Reclaimable,
}
impl ::std::fmt::Display for UpstreamSupply {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Reserved => f.write_str("reserved"),
            Self::Reclaimable => f.write_str("reclaimable"),
        }
    }
}
impl ::std::str::FromStr for UpstreamSupply {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "reserved" => Ok(Self::Reserved),
            "reclaimable" => Ok(Self::Reclaimable),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for UpstreamSupply {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for UpstreamSupply {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "What one class of a workspace used in a window."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageLine {
    #[doc = "The request class."]
    pub class: ::std::string::String,
    #[doc = "Output tokens delivered."]
    pub output_tokens: u64,
    #[doc = "Prompt tokens read."]
    pub prompt_tokens: u64,
    #[doc = "Requests that ran."]
    pub requests: u64,
    #[doc = "The workspace that pays."]
    pub workspace: ::std::string::String,
}
#[doc = "Usage of one data centre in one window."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageReport {
    #[doc = "The data centre."]
    pub data_centre: ::std::string::String,
    #[doc = "Epoch of the lease under which the window was sealed."]
    pub epoch: u64,
    #[doc = "What was used, by workspace and class."]
    pub lines: ::std::vec::Vec<UsageLine>,
    #[doc = "Number of the window."]
    pub window: u64,
}
#[doc = "Changes under a prefix since a version; the latest for each key."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct WatchAnswer {
    #[doc = "The changes, by rising version; empty when the wait ended first."]
    pub changes: ::std::vec::Vec<ObjectChange>,
    #[doc = "The version to go on from."]
    pub version: u64,
}
#[doc = "Permission to read weights."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct WeightGrant {
    #[doc = "What the engine shows to the weight store."]
    pub ticket: ::std::string::String,
}
#[doc = "Asks for permission to read weights."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct WeightRequest {
    #[doc = "The model."]
    pub model: ::std::string::String,
    #[doc = "The engine that will read them."]
    pub upstream: ::std::string::String,
}
#[doc = "Answer to a write that took effect."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct WriteAnswer {
    #[doc = "The version that was written."]
    pub version: u64,
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
