package org.clementinepost.api;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import org.junit.jupiter.api.Test;

final class ResultCodeTest {
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  /** Statuses 502 and 504 leave open whether the request ran, so callers could not safely retry. */
  @Test
  void codesOfRequestsThatDidNotRunAvoidGatewayStatuses() {
    assertThat(
            Vector.of(ResultCode.values())
                .filter(code -> code.runState() == RunState.NOT_RUN)
                .filter(
                    code ->
                        code.httpStatus() == BAD_GATEWAY || code.httpStatus() == GATEWAY_TIMEOUT))
        .isEmpty();
  }
}
