package org.clementinepost.node.edge;

import static org.assertj.core.api.Assertions.assertThat;

import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.junit.jupiter.api.Test;

final class RetryAfterTest {
  @Test
  void tellsTheTimeThatIsKnownForTheRequest() {
    Failure failure = Failure.of(ResultCode.QUOTA_EXCEEDED).withRetryAfter(1_234);
    assertThat(ResponseWriter.retryAfterMillis(failure, 0.9)).contains(1_234L);
  }

  @Test
  void spreadsRefusalsWithoutKnownTime() {
    Failure failure = Failure.of(ResultCode.HOST_QUEUE_FULL);
    assertThat(ResponseWriter.retryAfterMillis(failure, 0)).contains(300L);
    assertThat(ResponseWriter.retryAfterMillis(failure, 0.5)).contains(450L);
  }

  @Test
  void tellsNoTimeWhereTheRequestMayHaveRun() {
    Failure failure = Failure.of(ResultCode.BACKEND_ANSWER_LOST);
    assertThat(ResponseWriter.retryAfterMillis(failure, 0.5)).isEmpty();
  }
}
