package org.clementinepost.storage;

/** Condition on the stored item under which a write takes effect. */
public sealed interface ItemCondition {
  /** The write is unconditional. */
  record Always() implements ItemCondition {}

  /** The item must not exist. */
  record Absent() implements ItemCondition {}

  /** The item must exist and have this version. */
  record AtVersion(long version) implements ItemCondition {}
}
