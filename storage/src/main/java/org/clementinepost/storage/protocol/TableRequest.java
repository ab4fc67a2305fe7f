package org.clementinepost.storage.protocol;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.storage.ItemKey;
import org.clementinepost.storage.ItemWrite;

/** Request to the table service, independent of its encoding. */
public sealed interface TableRequest {
  /** Returns the name of the operation in the protocol. */
  String operation();

  /** Reads one item. */
  record GetItem(ItemKey key) implements TableRequest {
    static final String OPERATION = "GetItem";

    @Override
    public String operation() {
      return OPERATION;
    }
  }

  /** Reads one page of a partition, starting after a sort key. */
  record Query(String partition, Option<String> after, int limit) implements TableRequest {
    static final String OPERATION = "Query";

    @Override
    public String operation() {
      return OPERATION;
    }
  }

  /** Writes all items or none. */
  record TransactWriteItems(Vector<ItemWrite> writes) implements TableRequest {
    static final String OPERATION = "TransactWriteItems";

    @Override
    public String operation() {
      return OPERATION;
    }
  }
}
