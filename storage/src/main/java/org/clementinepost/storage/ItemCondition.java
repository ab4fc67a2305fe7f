package org.clementinepost.storage;

/** What must hold of an item for a write to take effect. */
public sealed interface ItemCondition {
  /** Nothing needs to hold. */
  record Always() implements ItemCondition {}

  /** The item must not exist. */
  record Absent() implements ItemCondition {}

  /** The item must exist at this version. */
  record AtVersion(long version) implements ItemCondition {}
}
