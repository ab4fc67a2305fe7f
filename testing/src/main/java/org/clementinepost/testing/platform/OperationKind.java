package org.clementinepost.testing.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a request to the platform does, as far as faults tell requests apart. */
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
