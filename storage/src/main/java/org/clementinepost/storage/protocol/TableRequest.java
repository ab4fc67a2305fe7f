package org.clementinepost.storage.protocol;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.storage.ItemKey;
import org.clementinepost.storage.ItemWrite;

/** A request to the table service, apart from its encoding. */
public sealed interface TableRequest {
  /** The name of the operation in the protocol. */
  String operation();

  /** Reads one item. */
  record GetItem(ItemKey key) implements TableRequest {
    static final String OPERATION = "GetItem";

    @Override
    public String operation() {
      return OPERATION;
    }
  }

  /** Reads one page of a partition, after a sort key. */
  record Query(String partition, Option<String> after, int limit) implements TableRequest {
    static final String OPERATION = "Query";

    @Override
    public String operation() {
      return OPERATION;
    }
  }

  /** Writes several items or none. */
  record TransactWriteItems(Vector<ItemWrite> writes) implements TableRequest {
    static final String OPERATION = "TransactWriteItems";

    @Override
    public String operation() {
      return OPERATION;
    }
  }
}
