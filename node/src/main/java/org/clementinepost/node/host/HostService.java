package org.clementinepost.node.host;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Member;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.configuration.ConfigurationService;
import org.clementinepost.node.directory.DirectoryMessage;
import org.clementinepost.node.directory.DirectoryService;
import org.clementinepost.node.metrics.MetricsService;
import org.clementinepost.node.settings.LoadSettings;
import org.clementinepost.policy.host.Announcement;
import org.clementinepost.policy.host.HostEffect;
import org.clementinepost.policy.host.HostEvent;
import org.clementinepost.policy.host.HostPolicy;
import org.clementinepost.policy.host.HostState;
import org.clementinepost.policy.host.QueueDiscipline;

/** Admits requests to the backend servers of this VM: runs {@link HostPolicy} as a task. */
public final class HostService {
  /** The name under which the service is registered. */
  public static final ServiceName<HostMessage> NAME = ServiceName.of("host", HostMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String WAKE_TIMER = "host-wake";
  private static final long TICK_MILLIS = 1_000;

  private HostService() {}

  /** Returns the definition of the service. */
  public static ServiceDefinition<HostMessage> definition(Member self, LoadSettings load) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context -> start(context, self, queue(load)));
  }

  private static QueueDiscipline queue(LoadSettings load) {
    return load.fairQueue() ? QueueDiscipline.fair() : QueueDiscipline.byUrgency();
  }

  private static Behaviour<HostMessage> start(
      TaskContext<HostMessage> context, Member self, QueueDiscipline queue) {
    context.sendEvery(NAME.text(), TICK_MILLIS, TICK_MILLIS, new HostMessage.Tick());
    ConfigurationService.subscribe(context, HostMessage.Configured::new);
    Address<DirectoryMessage> directory = context.registry().find(DirectoryService.NAME);
    QueueMetrics metrics = new QueueMetrics(context.registry().find(MetricsService.NAME));
    return Behaviour.ofDecision(
        HostState.empty(),
        message -> toEvent(message, context),
        new HostPolicy(self.domain(), queue),
        effect -> handle(effect, self, context, directory, metrics));
  }

  private static HostEvent toEvent(HostMessage message, TaskContext<HostMessage> context) {
    MonotonicClock clock = context.clock();
    if (message instanceof HostMessage.Admit admit) {
      return new HostEvent.Admit(
          admit.server(),
          admit.head(),
          clock.nowNanos(),
          context.random().nextLong(),
          admit.reply());
    }
    if (message instanceof HostMessage.RequestEnded ended) {
      return new HostEvent.RequestEnded(
          ended.admissionId(),
          ended.failure(),
          ended.status(),
          ended.serverMicros(),
          clock.nowNanos());
    }
    if (message instanceof HostMessage.Announced announced) {
      return new HostEvent.Announced(announced.announcement(), clock.nowNanos());
    }
    if (message instanceof HostMessage.DeparturesRestored restored) {
      return new HostEvent.DeparturesRestored(restored.departures());
    }
    if (message instanceof HostMessage.Discovered discovered) {
      return new HostEvent.Discovered(discovered.announcement(), clock.nowNanos());
    }
    if (message instanceof HostMessage.Configured configured) {
      return new HostEvent.Configured(configured.snapshot());
    }
    if (message instanceof HostMessage.Stop stop) {
      return new HostEvent.Stop(stop.listener(), clock.nowNanos());
    }
    if (message instanceof HostMessage.ReportLoad report) {
      return new HostEvent.ReportLoad(report.query(), clock.nowNanos(), report.reply());
    }
    if (message instanceof HostMessage.OutgoingCallFailed) {
      return new HostEvent.OutgoingCallFailed(clock.nowNanos());
    }
    return new HostEvent.Tick(clock.nowNanos());
  }

  private static void handle(
      HostEffect effect,
      Member self,
      TaskContext<HostMessage> context,
      Address<DirectoryMessage> directory,
      QueueMetrics metrics) {
    if (effect instanceof HostEffect.AdmissionDecided decided) {
      HostLog.log(decided);
      metrics.record(decided);
      decided.reply().send(decided.result());
      return;
    }
    if (effect instanceof HostEffect.WaitingChanged changed) {
      metrics.record(changed);
      return;
    }
    if (effect instanceof HostEffect.SlotReleased released) {
      HostLog.log(released);
      metrics.record(released);
      return;
    }
    if (effect instanceof HostEffect.SlotExpired expired) {
      HostLog.log(expired);
      metrics.recordExpiredSlot();
      return;
    }
    if (effect instanceof HostEffect.SuspicionChanged changed) {
      HostLog.log(changed);
      return;
    }
    if (effect instanceof HostEffect.LoadReported reported) {
      reported.reply().send(reported.report());
      return;
    }
    if (effect instanceof HostEffect.ScheduleTick schedule) {
      context.sendAfter(WAKE_TIMER, schedule.delayMillis(), new HostMessage.Tick());
      return;
    }
    if (effect instanceof HostEffect.ReportInFlight report) {
      report.listener().accept(report.inFlight());
      return;
    }
    HostEffect.Publish publish = (HostEffect.Publish) effect;
    logger.atInfo().log("event=hosted-servers servers=%d", publish.serving().size());
    directory.send(new DirectoryMessage.LocalEndpointsChanged(endpoints(publish.serving(), self)));
  }

  private static Vector<Endpoint> endpoints(Vector<Announcement> serving, Member self) {
    return serving.map(
        announcement ->
            new Endpoint(
                announcement.server(),
                announcement.service(),
                self.node(),
                self.domain(),
                announcement.slots()));
  }
}
