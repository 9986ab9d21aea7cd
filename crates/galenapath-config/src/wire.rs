//! Wire types: values in the platform's store, and the operators' interface.

pub use crate::generated::{
    AuditPageWire, ChangeRecordWire, ChangeRequestWire, ChangeWire, ClassKindWire, ClassWire,
    HeadWire, MarkWire, RemoveClassWire, SetTargetWire, SnapshotWire, TargetWire,
};
pub use crate::generated_operators::{
    AcceptedWire, AuditWire, ClassesWire, ErrorCodeWire, ErrorWire, ExplainWire, InstanceStateWire,
    PeerStatusWire, StatusWire, StoreStatusWire, VerdictWire,
};
