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
 * Items and objects of a platform, as one immutable value.
 *
 * <p>The semantics of writes are implemented only here; {@link InMemoryPlatform} and the stand-in
 * server both use this class. The bytes of an object are copied when they are stored and when they
 * are read.
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

  /** Returns the state without items and objects. */
  public static PlatformState empty() {
    return EMPTY;
  }

  /** Returns an item; none if it does not exist. */
  public Option<Item> item(ItemKey key) {
    return partition(key.partition()).get(key.sort());
  }

  /** Returns up to {@code limit} items of a partition whose sort keys follow {@code after}. */
  public Vector<Item> query(String partition, Option<String> after, int limit) {
    return partition(partition)
        .iterator()
        .dropWhile(entry -> after.exists(sort -> entry._1.compareTo(sort) <= 0))
        .map(entry -> entry._2)
        .take(limit)
        .toVector();
  }

  /** Applies all writes, or none if a condition is not met. */
  public Either<Failure, PlatformState> write(Vector<ItemWrite> writes) {
    if (writes.isEmpty() || writes.size() > MAX_TRANSACTION_WRITES) {
      return Either.left(
          Failure.of(ResultCode.PLATFORM_PROTOCOL, "writes=" + writes.size() + " out of bounds"));
    }
    if (writes.map(ItemWrite::key).distinct().size() < writes.size()) {
      return Either.left(Failure.of(ResultCode.PLATFORM_PROTOCOL, "two writes of one item"));
    }
    Option<ItemWrite> failed = writes.find(write -> !isConditionMet(write));
    if (failed.isDefined()) {
      return Either.left(
          Failure.of(ResultCode.PLATFORM_CONDITION_FAILED, failed.get().key().toString()));
    }
    return Either.right(writes.foldLeft(this, PlatformState::apply));
  }

  private boolean isConditionMet(ItemWrite write) {
    Option<Item> existing = item(write.key());
    if (write.condition() instanceof ItemCondition.Absent) {
      return existing.isEmpty();
    }
    if (write.condition() instanceof ItemCondition.AtVersion at) {
      return existing.exists(item -> item.version() == at.version());
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

  /** Returns an object; none if it does not exist. */
  public Option<byte[]> object(String key) {
    return objects.get(key).map(byte[]::clone);
  }

  /** Stores an object; fails if different bytes are stored under the key. */
  public Either<Failure, PlatformState> putObject(String key, byte[] content) {
    Option<byte[]> existing = objects.get(key);
    if (existing.isEmpty()) {
      return Either.right(new PlatformState(partitions, objects.put(key, content.clone())));
    }
    return Arrays.equals(existing.get(), content)
        ? Either.right(this)
        : Either.left(
            Failure.of(ResultCode.PLATFORM_CONDITION_FAILED, "a different object exists: " + key));
  }
}
