//! Chunking of client blocks: no line is lost, and a change of one line changes few chunks.

use configuration::{BlockChunk, ChunkReference, MAX_VALUE_BYTES, chunk_blocks};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeSet, HashSet};

fn line(number: u32) -> String {
    let [a, b, c, d] = number.to_be_bytes();
    format!("{a}.{b}.{c}.{d}/32 z{}", number % 3)
}

fn lines(count: u32) -> Vec<String> {
    // Every seventh address, so that a line can be inserted between two others.
    (0..count).map(|number| line(0x0a00_0000 + number * 7)).collect()
}

fn references(chunks: &[BlockChunk]) -> HashSet<&ChunkReference> {
    chunks.iter().map(|chunk| &chunk.reference).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 30, failure_persistence: None,
        rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn chunks_contain_every_line_once(numbers in prop::collection::vec(0_u32..20_000, 0..3_000)) {
        let lines: Vec<String> = numbers.into_iter().map(line).collect();
        let expected: BTreeSet<&str> = lines.iter().map(String::as_str).collect();

        let chunks = chunk_blocks(&lines.join("\n"));

        let kept: Vec<&str> = chunks.iter().flat_map(|chunk| chunk.text.lines()).collect();
        let counted: usize = chunks.iter().map(|chunk| chunk.reference.blocks).sum();
        prop_assert_eq!(counted, kept.len());
        prop_assert_eq!(kept, expected.into_iter().collect::<Vec<_>>());
    }

    #[test]
    fn a_change_of_one_line_changes_at_most_two_chunks(
        position in 0_u32..6_000,
        kind in 0..3,
    ) {
        let before = lines(6_000);
        let mut after = before.clone();
        let position = position as usize;
        match kind {
            0 => after.insert(position, line(0x0a00_0000 + position as u32 * 7 + 3)),
            1 => after[position].push('9'),
            _ => drop(after.remove(position)),
        }

        let (old, new) = (chunk_blocks(&before.join("\n")), chunk_blocks(&after.join("\n")));

        let (old_references, new_references) = (references(&old), references(&new));
        prop_assert!(new_references.difference(&old_references).count() <= 2);
        prop_assert!(old_references.difference(&new_references).count() <= 2);
    }
}

#[test]
fn order_and_blank_lines_do_not_matter() {
    let mut reversed = lines(5_000);
    reversed.reverse();

    let from_reversed = chunk_blocks(&reversed.join("\n\n"));

    assert_eq!(from_reversed, chunk_blocks(&lines(5_000).join("\n")));
}

#[test]
fn chunks_fit_into_an_object() {
    let chunks = chunk_blocks(&lines(200_000).join("\n"));

    assert!(chunks.iter().all(|chunk| chunk.text.len() < MAX_VALUE_BYTES));
}
