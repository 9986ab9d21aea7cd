//! Wire types of the values in the platform's store and of the operators' API.

pub use crate::generated::{
    AuditPageWire, ChangeRecordWire, ChangeRequestWire, ChangeWire, ClassKindWire, ClassWire,
    HeadWire, MarkWire, RemoveClassWire, SetTargetWire, SnapshotWire, TargetWire,
};
pub use crate::generated_operators::{
    AcceptedWire, AuditWire, ClassesWire, ErrorCodeWire, ErrorWire, ExplainWire, InstanceStateWire,
    PeerStatusWire, StatusWire, StoreStatusWire, VerdictWire,
};
