package org.clementinepost.node;

import io.vavr.collection.Vector;
import java.util.function.Function;
import org.clementinepost.api.Member;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.node.announce.AnnounceService;
import org.clementinepost.node.configuration.ChangeFeedConfigurationService;
import org.clementinepost.node.configuration.ConfigurationService;
import org.clementinepost.node.directory.DirectoryService;
import org.clementinepost.node.directory.TableDirectoryService;
import org.clementinepost.node.membership.MembershipService;
import org.clementinepost.node.quota.QuotaService;
import org.clementinepost.platform.HeartbeatFormat;
import org.clementinepost.platform.OperatorTable;
import org.clementinepost.platform.PlatformDialect;
import org.clementinepost.platform.StoreClient;
import org.clementinepost.policy.host.AnnouncementProtocol;
import org.clementinepost.policy.quota.EmergencyAllowance;
import org.clementinepost.storage.PlatformService;

/**
 * What a node rests on: where its configuration and its knowledge of the fleet come from, and how
 * callers and backend servers speak.
 *
 * @param services the services that know the configuration and the fleet
 * @param dialect the header fields of requests and answers
 * @param announcements how backend servers announce themselves
 */
record Backing(
    Function<Member, Vector<ServiceDefinition<?>>> services,
    HttpDialect dialect,
    AnnouncementProtocol announcements) {

  /** Table and objects, with the fleet known by gossip. */
  static Backing tableAndObjects(ServiceDefinition<PlatformService.Message> platform) {
    return new Backing(
        self ->
            Vector.of(
                platform,
                ConfigurationService.definition(),
                MembershipService.definition(self),
                DirectoryService.definition(self),
                QuotaService.unlimited()),
        HttpDialect.DEFAULT,
        AnnounceService.OWN_PROTOCOL);
  }

  /** A store that tells of changes, with the fleet known from one of its tables. */
  static Backing rowStore(StoreClient store, EmergencyAllowance tolerance) {
    return new Backing(
        self ->
            Vector.of(
                ChangeFeedConfigurationService.definition(new OperatorTable(store)),
                TableDirectoryService.definition(self, store),
                QuotaService.definition(self, store, tolerance)),
        PlatformDialect.DIALECT,
        HeartbeatFormat.PROTOCOL);
  }
}
