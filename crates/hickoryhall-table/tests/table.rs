//! Serialized forms, validation and merge of the table.

use hickoryhall_table::{Change, Row, Table, TableHead, merge};
use proptest::prelude::*;
use rstest::rstest;

fn row() -> impl Strategy<Value = Row> {
    let cell = || prop::option::of(1_u32..4);
    (
        (0_u8..3, 0_u8..3),
        cell(),
        cell(),
        prop::option::of(prop::bool::ANY),
    )
        .prop_map(
            |((workspace, target), weight, requests_per_s, repeatable)| Row {
                weight,
                requests_per_s,
                repeatable,
                ..Row::new(&format!("w{workspace}"), &format!("model:m{target}"))
            },
        )
}

fn table() -> impl Strategy<Value = Table> {
    prop::collection::vec(row(), 0..8).prop_map(|rows| rows.into_iter().collect())
}

/// Reference implementation of the merge: merges every cell of every row independently, the two
/// key columns included.
fn reference_merge(base: &Table, theirs: &Table, ours: &Table) -> Option<Table> {
    let tables = [base, theirs, ours];
    let keys = tables.iter().flat_map(|table| table.rows().map(Row::key));
    let keys = keys.collect::<std::collections::BTreeSet<_>>();
    let mut merged = Table::default();
    for key in keys {
        let rows = tables.map(|table| table.row(&key.workspace, &key.target));
        let [base, theirs, ours] = rows;
        let chosen = match (base, theirs, ours) {
            (b, t, o) if b == o => t.cloned(),
            (b, t, o) if b == t => o.cloned(),
            (_, t, o) if t == o => t.cloned(),
            (b, Some(t), Some(o)) => {
                let empty = Row::new(&key.workspace, &key.target);
                let cells = [b.unwrap_or(&empty), t, o].map(Row::cells);
                let cell = |i: usize| match [&cells[0][i], &cells[1][i], &cells[2][i]] {
                    [b, t, o] if b == o || t == o => Some(t.clone()),
                    [b, t, o] if b == t => Some(o.clone()),
                    _ => None,
                };
                let line = (0..Row::COLUMNS.len())
                    .map(cell)
                    .collect::<Option<Vec<_>>>()?;
                let sheet = format!("{}\n{}\n", Row::COLUMNS.join(","), line.join(","));
                Table::from_csv(&sheet)
                    .expect("the merged cells are valid")
                    .rows()
                    .next()
                    .cloned()
            }
            _ => return None,
        };
        chosen.into_iter().for_each(|row| merged.insert(row));
    }
    Some(merged)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    #[test]
    fn merge_does_what_a_naive_one_does(base in table(), theirs in table(), ours in table()) {
        prop_assert_eq!(merge(&base, &theirs, &ours).ok(), reference_merge(&base, &theirs, &ours));
    }
}

proptest! {
    #[test]
    fn csv_json_and_chunks_bring_the_same_table_back(table in table()) {
        prop_assert_eq!(Table::from_csv(&table.to_csv()), Ok(table.clone()));
        prop_assert_eq!(Table::from_json(&table.to_json()), Ok(table.clone()));
        let change = Change { id: "c".into(), revision: 0, author: "a".into(), at_s: 0 };
        let head = TableHead::default().next(&table, change);
        let chunks = table.to_chunks().into_iter().map(|chunk| (chunk.id, chunk.bytes)).collect();
        prop_assert_eq!(Table::from_chunks(&head, &chunks).expect("the chunks are complete"), table);
    }

    #[test]
    fn a_change_of_one_row_changes_one_chunk(table in table()) {
        let mut changed = table.clone();
        changed.insert(Row { weight: Some(77), ..Row::new("w0", "model:m0") });
        let before = table.to_chunks();
        let new_chunks = changed.to_chunks().into_iter().filter(|chunk| !before.contains(chunk));
        prop_assert_eq!(new_chunks.count(), 1);
    }
}

#[rstest]
#[case::zero_limit("workspace,target,requests_per_s\nkaroo,model:m,0\n")]
#[case::no_number("workspace,target,weight\nkaroo,model:m,many\n")]
#[case::bad_target("workspace,target,weight\nkaroo,planner,1\n")]
#[case::empty_workspace("workspace,target,weight\n,model:m,1\n")]
#[case::twice("workspace,target,weight\nkaroo,model:m,1\nkaroo,model:m,2\n")]
#[case::unknown_column("workspace,target,wieght\nkaroo,model:m,1\n")]
#[case::bad_hash("workspace,target,key_hashes\nkaroo,*,abc\n")]
#[case::two_at_once("workspace,target,weight\nkaroo,planner,0\n")]
fn a_bad_sheet_is_refused_with_line_and_column(#[case] sheet: &str) {
    let errors = Table::from_csv(sheet).expect_err("the sheet is invalid");
    let name = sheet.replace(|c: char| !c.is_ascii_alphanumeric(), "_");
    insta::assert_snapshot!(format!("bad_sheet__{name}"), errors.to_string());
}

#[test]
fn empty_cells_come_from_less_specific_rows() {
    let sheet = "workspace,target,weight,requests_per_s,repeatable\n\
                 karoo,*,5,,\n\
                 *,service:booking,1,20,false\n\
                 karoo,service:booking,,10,\n";
    let table = Table::from_csv(sheet).expect("the sheet is valid");
    let own_access = table
        .access_policy("karoo", "service:booking")
        .expect("the workspace has access");
    assert_eq!(
        (
            own_access.weight,
            own_access.requests_per_s,
            own_access.repeatable
        ),
        (5, Some(10), false)
    );
    let other_access = table
        .access_policy("valenza", "service:booking")
        .expect("the workspace has access");
    assert_eq!(
        (
            other_access.weight,
            other_access.requests_per_s,
            other_access.repeatable
        ),
        (1, Some(20), false)
    );
    assert!(table.access_policy("karoo", "model:none").is_none());
}

/// Guards against errors that name another line after a row that could not be parsed, or after an
/// empty line, and another column where the header is in an order of its own.
#[test]
fn errors_name_the_line_and_the_column_of_the_sheet() {
    let sheet = "weight,target,workspace\n\
                 many,model:m,karoo\n\
                 1,planner,karoo\n\
                 \n\
                 0,model:m,valenza\n";
    let errors = Table::from_csv(sheet).expect_err("the sheet is invalid");
    let places = errors
        .0
        .iter()
        .map(|error| (error.line, error.column.as_str()));
    assert_eq!(
        places.collect::<Vec<_>>(),
        [(2, "weight"), (3, "target"), (5, "weight")]
    );
}
