package org.clementinepost.storage;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Arrays;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/**
 * All that a platform holds, as one immutable value.
 *
 * <p>This is the one place that says what a write means; the platform held in memory and the
 * stand-in server both use it. The bytes of an object are copied on their way in and out.
 */
public final class PlatformState {
  private static final int MAX_TRANSACTION_WRITES = 100;
  private static final PlatformState EMPTY = new PlatformState(HashMap.empty(), HashMap.empty());

  private final Map<String, TreeMap<String, Item>> partitions;
  private final Map<String, byte[]> objects;

  private PlatformState(
      Map<String, TreeMap<String, Item>> partitions, Map<String, byte[]> objects) {
    this.partitions = partitions;
    this.objects = objects;
  }

  /** A platform that holds nothing. */
  public static PlatformState empty() {
    return EMPTY;
  }

  /** Reads one item. */
  public Option<Item> item(ItemKey key) {
    return partition(key.partition()).get(key.sort());
  }

  /** Reads the items of a partition after a sort key. */
  public Vector<Item> query(String partition, Option<String> after, int limit) {
    return partition(partition)
        .iterator()
        .dropWhile(entry -> after.exists(sort -> entry._1.compareTo(sort) <= 0))
        .map(entry -> entry._2)
        .take(limit)
        .toVector();
  }

  /** Writes all items, or none when a condition fails. */
  public Either<Failure, PlatformState> write(Vector<ItemWrite> writes) {
    if (writes.isEmpty() || writes.size() > MAX_TRANSACTION_WRITES) {
      return Either.left(
          Failure.of(ResultCode.PLATFORM_PROTOCOL, "writes=" + writes.size() + " out of bounds"));
    }
    if (writes.map(ItemWrite::key).distinct().size() < writes.size()) {
      return Either.left(Failure.of(ResultCode.PLATFORM_PROTOCOL, "two writes of one item"));
    }
    Option<ItemWrite> refused = writes.find(write -> !isConditionMet(write));
    if (refused.isDefined()) {
      return Either.left(
          Failure.of(ResultCode.PLATFORM_CONDITION_FAILED, refused.get().key().toString()));
    }
    return Either.right(writes.foldLeft(this, PlatformState::apply));
  }

  private boolean isConditionMet(ItemWrite write) {
    Option<Item> present = item(write.key());
    if (write.condition() instanceof ItemCondition.Absent) {
      return present.isEmpty();
    }
    if (write.condition() instanceof ItemCondition.AtVersion at) {
      return present.exists(item -> item.version() == at.version());
    }
    return true;
  }

  private PlatformState apply(ItemWrite write) {
    ItemKey key = write.key();
    TreeMap<String, Item> before = partition(key.partition());
    TreeMap<String, Item> after =
        write
            .newItem()
            .map(item -> before.put(key.sort(), item))
            .getOrElse(() -> before.remove(key.sort()));
    return new PlatformState(partitions.put(key.partition(), after), objects);
  }

  private TreeMap<String, Item> partition(String name) {
    return partitions.get(name).getOrElse(TreeMap::empty);
  }

  /** Reads an object. */
  public Option<byte[]> object(String key) {
    return objects.get(key).map(byte[]::clone);
  }

  /** Writes an object, unless another one has its name. */
  public Either<Failure, PlatformState> putObject(String key, byte[] content) {
    Option<byte[]> present = objects.get(key);
    if (present.isEmpty()) {
      return Either.right(new PlatformState(partitions, objects.put(key, content.clone())));
    }
    return Arrays.equals(present.get(), content)
        ? Either.right(this)
        : Either.left(Failure.of(ResultCode.PLATFORM_CONDITION_FAILED, "another object: " + key));
  }
}
