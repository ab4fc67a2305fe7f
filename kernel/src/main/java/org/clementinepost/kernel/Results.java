package org.clementinepost.kernel;

import io.vavr.control.Either;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import reactor.core.publisher.Mono;

/** Joins steps that end in a value or a failure. */
public final class Results {
  private Results() {}

  /** Takes the next step with the value of the one before, or passes its failure on. */
  public static <A, B> Mono<Either<Failure, B>> then(
      Mono<Either<Failure, A>> first, Function<A, Mono<Either<Failure, B>>> next) {
    return first.flatMap(result -> result.fold(failure -> Mono.just(Either.left(failure)), next));
  }
}
