#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Response to a write whose condition did not hold."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
pub struct ConflictAnswer {
    #[doc = "The current object; absent if it doesn't exist."]
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
    #[doc = "Whether it stays in service."]
    pub state: FleetState,
}
#[doc = "Hosts and upstreams, each live or leaving. The list may lag behind the actual state."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct FleetList {
    #[doc = "Hosts of the system."]
    pub hosts: ::std::vec::Vec<FleetHost>,
    #[doc = "Upstreams of the system."]
    pub upstreams: ::std::vec::Vec<FleetUpstream>,
}
#[doc = "Whether a host or upstream stays in service."]
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
    #[doc = "Its description, if it was ordered and is not in the configuration."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub ordered: ::std::option::Option<OrderedUpstream>,
    #[doc = "Whether it stays in service."]
    pub state: FleetState,
}
#[doc = "A write that a watch observed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ObjectChange {
    #[doc = "Key of the object."]
    pub key: ::std::string::String,
    #[doc = "The value written; absent if the object was deleted."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<::serde_json::Value>,
    #[doc = "Version of the write."]
    pub version: u64,
}
#[doc = "All objects whose keys start with a prefix."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ObjectList {
    #[doc = "The objects, in ascending order of key."]
    pub objects: ::std::vec::Vec<StoredObject>,
    #[doc = "Highest version in the store when the list was read."]
    pub version: u64,
}
#[doc = "Response to an order for upstreams."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OrderAnswer {
    #[doc = "Identifier of the accepted order."]
    pub id: ::std::string::String,
}
#[doc = "An upstream that was delivered for an order."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OrderedUpstream {
    #[doc = "Address at which it listens, as IP:PORT."]
    pub address: ::std::string::String,
    #[doc = "Models that it serves."]
    pub models: ::std::vec::Vec<::std::string::String>,
    #[doc = "Identifier of the order for which it was delivered."]
    pub order: ::std::string::String,
    #[doc = "How it was purchased."]
    pub supply: UpstreamSupply,
}
#[doc = "An object of the versioned object API."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct StoredObject {
    #[doc = "Key of the object."]
    pub key: ::std::string::String,
    #[doc = "Value of the object."]
    pub value: ::serde_json::Value,
    #[doc = "Version of the object. It changes with each write, and no version is used twice."]
    pub version: u64,
}
#[doc = "The change that an order makes to the upstreams."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum SupplyChange {
    #[doc = "Adds upstreams."]
    #[serde(rename = "add")]
    Add(SupplyRequest),
    #[doc = "Releases the upstream with this name."]
    #[serde(rename = "release")]
    Release(::std::string::String),
}
impl ::std::convert::From<SupplyRequest> for SupplyChange {
    fn from(value: SupplyRequest) -> Self {
        Self::Add(value)
    }
}
#[doc = "The upstreams to add."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct SupplyRequest {
    #[doc = "Number of upstreams."]
    pub count: u32,
    #[doc = "Model that the upstreams serve."]
    pub model: ::std::string::String,
    #[doc = "How the upstreams are purchased."]
    pub supply: UpstreamSupply,
}
#[doc = "An order for more upstreams, or to release one."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UpstreamOrder {
    #[doc = "The change that is ordered."]
    pub change: SupplyChange,
    #[doc = "Data centre in which the upstreams are located."]
    pub data_centre: ::std::string::String,
    #[doc = "Epoch of the lease under which the order was recorded."]
    pub epoch: u64,
    #[doc = "Identifier of the order; sending it again with the same identifier has no further effect."]
    pub id: ::std::string::String,
}
#[doc = "How an upstream is purchased."]
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
#[doc = "Usage of one request class of a workspace in a window."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageLine {
    #[doc = "The request class."]
    pub class: ::std::string::String,
    #[doc = "Number of output tokens delivered."]
    pub output_tokens: u64,
    #[doc = "Number of prompt tokens processed."]
    pub prompt_tokens: u64,
    #[doc = "Number of requests that ran."]
    pub requests: u64,
    #[doc = "The workspace that is billed."]
    pub workspace: ::std::string::String,
}
#[doc = "Usage of one data centre in one window."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageReport {
    #[doc = "The data centre."]
    pub data_centre: ::std::string::String,
    #[doc = "Epoch of the lease under which the window was sealed."]
    pub epoch: u64,
    #[doc = "Usage by workspace and class."]
    pub lines: ::std::vec::Vec<UsageLine>,
    #[doc = "Number of the window."]
    pub window: u64,
}
#[doc = "The latest change of each key that starts with a prefix, since a version."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct WatchAnswer {
    #[doc = "The changes, in ascending order of version; empty if the wait ended first."]
    pub changes: ::std::vec::Vec<ObjectChange>,
    #[doc = "Version after which the next watch continues."]
    pub version: u64,
}
#[doc = "Permission to read a model's weights."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct WeightGrant {
    #[doc = "Ticket that the engine presents to the weight store."]
    pub ticket: ::std::string::String,
}
#[doc = "Request for permission to read a model's weights."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct WeightRequest {
    #[doc = "Name of the model."]
    pub model: ::std::string::String,
    #[doc = "Name of the engine that will read the weights."]
    pub upstream: ::std::string::String,
}
#[doc = "Response to a write that took effect."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct WriteAnswer {
    #[doc = "Version of the write."]
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
