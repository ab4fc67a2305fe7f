package org.clementinepost.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.junit.jupiter.api.Test;

final class AskTest {
  private record Question(Reply<Either<Failure, String>> reply) {}

  private static Either<Failure, String> ask(Address<Question> address) {
    return Ask.<Question, String>of(address, Question::new).block();
  }

  @Test
  void deliversReplyToCaller() {
    Address<Question> task =
        question -> {
          question.reply().send(Either.right("yes"));
          return Delivery.ACCEPTED;
        };
    assertThat(ask(task).get()).isEqualTo("yes");
  }

  @Test
  void failsWithNodeOverloadedWhenMailboxIsFull() {
    assertThat(ask(question -> Delivery.FULL).getLeft().code())
        .isEqualTo(ResultCode.NODE_OVERLOADED);
  }

  @Test
  void failsWithNodeStoppingWhenTaskHasStopped() {
    assertThat(ask(question -> Delivery.STOPPED).getLeft().code())
        .isEqualTo(ResultCode.NODE_STOPPING);
  }
}
