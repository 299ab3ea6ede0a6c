//! Shared access to the table in use, for worker threads.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use hickoryhall_table::{Table, TableHead};
use hickoryhall_types::Revision;

/// One revision of the table, with an index from API key hashes to workspaces.
#[derive(Debug, Default)]
pub(crate) struct CurrentTable {
    pub head: TableHead,
    pub table: Arc<Table>,
    /// Workspace of each API key, by the key's BLAKE3 hash in lower-case hex.
    workspaces_by_key_hash: HashMap<String, String>,
}

impl CurrentTable {
    pub fn new(head: TableHead, table: Arc<Table>) -> Self {
        let index = |row: &hickoryhall_table::Row| {
            let hashes = row.key_hash_list().map(str::to_ascii_lowercase);
            hashes
                .map(|hash| (hash, row.workspace.clone()))
                .collect::<Vec<_>>()
        };
        let workspaces_by_key_hash = table.rows().flat_map(index).collect();
        Self {
            head,
            table,
            workspaces_by_key_hash,
        }
    }

    /// Returns the workspace of an API key, found by the key's BLAKE3 hash.
    pub fn workspace_of(&self, key: &str) -> Option<&str> {
        let hash = blake3::hash(key.as_bytes()).to_hex();
        self.workspaces_by_key_hash
            .get(hash.as_str())
            .map(String::as_str)
    }
}

/// Handle to the table in use; all clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedTable {
    current: Arc<RwLock<Arc<CurrentTable>>>,
}

impl SharedTable {
    pub fn get(&self) -> Arc<CurrentTable> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn set(&self, table: CurrentTable) {
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(table);
    }

    pub fn revision(&self) -> Revision {
        self.get().head.revision
    }
}
