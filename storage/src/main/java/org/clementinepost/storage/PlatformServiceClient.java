package org.clementinepost.storage;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Ask;
import reactor.core.publisher.Mono;

/** Reads and writes items and objects through the platform's kernel service. */
record PlatformServiceClient(Address<PlatformService.Message> service)
    implements TableService, ObjectStore {

  @Override
  public Mono<Either<Failure, Option<Item>>> get(ItemKey key) {
    return Ask.of(service, reply -> new PlatformService.Get(key, reply));
  }

  @Override
  public Mono<Either<Failure, Vector<Item>>> query(
      String partition, Option<String> after, int limit) {
    return Ask.of(service, reply -> new PlatformService.Query(partition, after, limit, reply));
  }

  @Override
  public Mono<Either<Failure, Vector<ItemWrite>>> write(Vector<ItemWrite> writes) {
    return Ask.of(service, reply -> new PlatformService.Write(writes, reply));
  }

  @Override
  public Mono<Either<Failure, Option<byte[]>>> get(String key) {
    return Ask.of(service, reply -> new PlatformService.GetObject(key, reply));
  }

  @Override
  public Mono<Either<Failure, String>> put(String key, byte[] content) {
    return Ask.of(service, reply -> new PlatformService.PutObject(key, content, reply));
  }
}
