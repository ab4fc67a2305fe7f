package org.clementinepost.ctl;

import io.vavr.control.Either;
import java.security.SecureRandom;
import java.util.Base64;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ApiKey;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.config.PublishOutcome;

/**
 * Creates an API key for a customer: publishes its hash and prints the key once, without storing
 * it.
 */
final class KeyGrantCommand implements Command {
  private static final int KEY_BYTES = 32;
  private static final int NAME_HASH_DIGITS = 12;

  private final SecureRandom random = new SecureRandom();

  @Override
  public Outcome run(CommandContext context) {
    String secret = generateSecret();
    String hash = ApiKey.hash(secret);
    CustomerId customer = new CustomerId(context.argument());
    String name =
        context
            .options()
            .name()
            .getOrElse(() -> customer + "-" + hash.substring(0, NAME_HASH_DIGITS));
    ApiKey key = new ApiKey(name, customer, hash);
    PublishOutcome outcome =
        context
            .editor()
            .edit(head -> addKey(head, key), context.stamp("key grant " + customer))
            .block();
    Outcome.Builder report = PublishReport.of(outcome).field("keyName", name);
    return mayHaveTakenEffect(outcome)
        ? report.field("key", secret).line("key name: " + name).line("key: " + secret).build()
        : report.build();
  }

  /** Whether the key may be in force and is printed; an uncertain publication counts too. */
  private static boolean mayHaveTakenEffect(PublishOutcome outcome) {
    return outcome instanceof PublishOutcome.Published
        || (outcome instanceof PublishOutcome.Failed failed
            && failed.failure().code() == ResultCode.PUBLISH_UNCERTAIN);
  }

  private static Either<Failure, Snapshot> addKey(Snapshot head, ApiKey key) {
    if (!head.customers().containsKey(key.customer())) {
      return Either.left(Failure.of(ResultCode.NO_SUCH_OBJECT, "customer/" + key.customer()));
    }
    return Either.right(head.with(key));
  }

  private String generateSecret() {
    byte[] bytes = new byte[KEY_BYTES];
    random.nextBytes(bytes);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }
}
