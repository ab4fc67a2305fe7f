package org.clementinepost.testing.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kind of a request to the platform, by which faults select requests. */
public enum OperationKind {
  @JsonProperty("table-read")
  TABLE_READ,
  @JsonProperty("table-write")
  TABLE_WRITE,
  @JsonProperty("object-read")
  OBJECT_READ,
  @JsonProperty("object-write")
  OBJECT_WRITE
}
