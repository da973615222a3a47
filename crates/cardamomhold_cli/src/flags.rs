//! The command line, as the library generates it.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Drives a fleet of cardamomhold instances through any one of them.
    ///
    /// Kinds of objects: group, rank, read-kind, caller, stop-rule, leadership (read only).
    /// Exit codes: 0 done, 2 bad usage or refused field, 3 unreachable,
    /// 4 conflict with another change, 5 undecided.
    cmd cardamomhold {
        /// Address of an instance's peer service; 127.0.0.1:7101 by default.
        optional --address address: String
        /// Prints JSON for scripts.
        optional --json
        /// Who makes the change; the environment's USER by default.
        optional --author author: String

        /// Shows groups, members, instances and zones as the instance sees them.
        cmd status {
            /// Waits until every group has a reachable primary, no switchover is under way and
            /// no draining member has work.
            optional --wait
        }
        /// Shows one object.
        cmd get {
            required kind: String
            /// Name of the object; not needed for the stop rule.
            optional name: String
        }
        /// Lists objects, of one kind or of all.
        cmd list {
            optional kind: String
        }
        /// Shows what a change would alter, and alters nothing.
        cmd diff {
            required kind: String
            optional name: String
            /// File with the whole new content, in JSON.
            optional --file file: PathBuf
            /// One field of the new content, as field=value; the others stay as they are.
            repeated --field field: String
        }
        /// Creates or changes an object, and shows what is altered.
        cmd set {
            required kind: String
            optional name: String
            /// File with the whole new content, in JSON.
            optional --file file: PathBuf
            /// One field of the new content, as field=value; the others stay as they are.
            repeated --field field: String
            /// Version that the change is made from; the current one by default.
            optional --version version: u64
        }
        /// Removes an object.
        cmd remove {
            required kind: String
            optional name: String
            /// Version that the change is made from; the current one by default.
            optional --version version: u64
        }
        /// Shows an object's last changes, the newest first.
        cmd history {
            required kind: String
            optional name: String
        }
        /// Gives a member no new work.
        cmd drain {
            required group: String
            required member: String
            /// Version that the change is made from; the current one by default.
            optional --version version: u64
        }
        /// Gives a drained member work again.
        cmd undrain {
            required group: String
            required member: String
            /// Version that the change is made from; the current one by default.
            optional --version version: u64
        }
        /// Orders a planned change of a group's primary.
        cmd switchover {
            required group: String
            /// Member to promote; the system chooses by default.
            optional member: String
        }
    }
}
