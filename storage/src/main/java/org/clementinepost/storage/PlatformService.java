package org.clementinepost.storage;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import reactor.core.Disposable;

/**
 * Kernel service through which the other services reach the platform.
 *
 * <p>Its task owns the connections to the platform and closes them when it stops.
 */
public final class PlatformService {
  /** The name under which the service is registered. */
  public static final ServiceName<Message> NAME = ServiceName.of("platform", Message.class);

  private PlatformService() {}

  /** Message to the service. */
  public sealed interface Message {}

  /** Reads one item. */
  public record Get(ItemKey key, Reply<Either<Failure, Option<Item>>> reply) implements Message {}

  /** Reads the items of a partition whose sort keys follow the given one. */
  public record Query(
      String partition, Option<String> after, int limit, Reply<Either<Failure, Vector<Item>>> reply)
      implements Message {}

  /** Writes all items or none. */
  public record Write(Vector<ItemWrite> writes, Reply<Either<Failure, Vector<ItemWrite>>> reply)
      implements Message {}

  /** Reads an object. */
  public record GetObject(String key, Reply<Either<Failure, Option<byte[]>>> reply)
      implements Message {}

  /** Writes an object. */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are passed directly to the socket.
  public record PutObject(String key, byte[] content, Reply<Either<Failure, String>> reply)
      implements Message {}

  /** Returns the service for the platform that the settings describe. */
  public static ServiceDefinition<Message> definition(PlatformSettings settings) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> {
          HttpPlatform http = HttpPlatform.of(settings);
          return new RequestHandler(http.platform(), http);
        });
  }

  /** Returns the service for a platform in this process. */
  public static ServiceDefinition<Message> definition(Platform platform) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new RequestHandler(platform, () -> {}));
  }

  /** Returns a platform that forwards its requests to the service in the registry. */
  public static Platform platformOf(Registry registry) {
    PlatformServiceClient client = new PlatformServiceClient(registry.find(NAME));
    return new Platform(client, client);
  }

  private record RequestHandler(Platform platform, Disposable connections)
      implements Behaviour<Message> {
    @Override
    public void receive(Message message) {
      if (message instanceof Get get) {
        platform.table().get(get.key()).subscribe(get.reply()::send);
        return;
      }
      if (message instanceof Query query) {
        platform
            .table()
            .query(query.partition(), query.after(), query.limit())
            .subscribe(query.reply()::send);
        return;
      }
      if (message instanceof Write write) {
        platform.table().write(write.writes()).subscribe(write.reply()::send);
        return;
      }
      if (message instanceof GetObject get) {
        platform.objects().get(get.key()).subscribe(get.reply()::send);
        return;
      }
      if (message instanceof PutObject put) {
        platform.objects().put(put.key(), put.content()).subscribe(put.reply()::send);
      }
    }

    @Override
    public void stop() {
      connections.dispose();
    }
  }
}
