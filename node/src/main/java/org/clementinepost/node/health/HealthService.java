package org.clementinepost.node.health;

import com.google.common.flogger.FluentLogger;
import io.vavr.Tuple;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.Step;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.metrics.MetricsMessage;
import org.clementinepost.node.metrics.MetricsService;
import org.clementinepost.node.operator.OperatorMessage;
import org.clementinepost.node.operator.OperatorService;
import org.clementinepost.policy.health.StallEffect;
import org.clementinepost.policy.health.StallEvent;
import org.clementinepost.policy.health.StallPolicy;
import org.clementinepost.policy.health.StallState;
import org.clementinepost.policy.health.TaskObservation;

/**
 * Checks periodically that the other tasks process their messages, and runs {@link StallPolicy}.
 *
 * <p>The checks don't come from the timer service, which is one of the tasks that are checked.
 */
public final class HealthService implements Behaviour<HealthMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<HealthMessage> NAME =
      ServiceName.of("health", HealthMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CHECK_INTERVAL_MILLIS = 1_000;
  private static final int CHECKS_UNTIL_STALLED = 3;
  private static final int CHECKS_UNTIL_END = 10;

  private final TaskContext<HealthMessage> context;
  private final StallPolicy policy = new StallPolicy(CHECKS_UNTIL_STALLED, CHECKS_UNTIL_END);
  private StallState state = StallState.initial();
  private Vector<Reply<Failure>> pendingReplies = Vector.empty();

  private HealthService(TaskContext<HealthMessage> context) {
    this.context = context;
    scheduleCheck();
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<HealthMessage> definition() {
    return new ServiceDefinition<>(
        NAME, ServiceDefinition.CONTROL_MAILBOX_MESSAGES, HealthService::new);
  }

  /** Schedules one check, since checks in quick succession would find no progress between them. */
  private void scheduleCheck() {
    context
        .scheduler()
        .schedule(
            () -> context.self().send(new HealthMessage.Check()),
            CHECK_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  @Override
  public void receive(HealthMessage message) {
    if (message instanceof HealthMessage.AwaitFailure await) {
      pendingReplies = pendingReplies.append(await.reply());
      return;
    }
    scheduleCheck();
    Step<StallState, StallEffect> step = policy.decide(state, new StallEvent(observeTasks()));
    state = step.state();
    step.effects().forEach(this::handle);
  }

  private Map<String, TaskObservation> observeTasks() {
    return context
        .registry()
        .progress()
        .toMap(
            task ->
                Tuple.of(
                    task.task(),
                    new TaskObservation(task.processedMessages(), task.messagesWaiting())));
  }

  private void handle(StallEffect effect) {
    if (effect instanceof StallEffect.StalledTasksChanged changed) {
      logger.atSevere().log("event=tasks-stalled tasks=%s", changed.tasks().mkString(","));
      report(changed.tasks());
      return;
    }
    StallEffect.EndProcess end = (StallEffect.EndProcess) effect;
    Failure failure = Failure.of(ResultCode.TASK_STALLED, end.tasks().mkString(","));
    pendingReplies.forEach(reply -> reply.send(failure));
    pendingReplies = Vector.empty();
  }

  private void report(Vector<String> stalledTasks) {
    context
        .registry()
        .find(OperatorService.NAME)
        .send(new OperatorMessage.StalledTasksChanged(stalledTasks));
    context
        .registry()
        .find(MetricsService.NAME)
        .send(new MetricsMessage.SetGauge("tasks.stalled", stalledTasks.size()));
  }
}
