package org.clementinepost.node;

import io.vavr.collection.Vector;
import java.util.function.Function;
import org.clementinepost.api.Member;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.node.announce.AnnounceService;
import org.clementinepost.node.announce.DepartureService;
import org.clementinepost.node.configuration.ChangeFeedConfigurationService;
import org.clementinepost.node.configuration.ConfigurationService;
import org.clementinepost.node.directory.DirectoryService;
import org.clementinepost.node.directory.TableDirectoryService;
import org.clementinepost.node.feed.FeedService;
import org.clementinepost.node.feed.FeedTable;
import org.clementinepost.node.feed.RelayedRowStore;
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
 * The parts of a node that depend on the platform that it runs on.
 *
 * @param services the services that read the configuration and track the other nodes, their backend
 *     servers and the customers' quota
 * @param dialect the names of the HTTP header fields and paths
 * @param announcementProtocol the protocol by which backend servers announce themselves
 */
record PlatformAdapter(
    Function<Member, Vector<ServiceDefinition<?>>> services,
    HttpDialect dialect,
    AnnouncementProtocol announcementProtocol) {

  /**
   * Returns the adapter for a platform with a table service and an object store, on which nodes
   * discover each other by gossip and customers' quotas are not enforced.
   */
  static PlatformAdapter tableAndObjects(ServiceDefinition<PlatformService.Message> platform) {
    return new PlatformAdapter(
        self ->
            Vector.of(
                platform,
                ConfigurationService.definition(),
                MembershipService.definition(self),
                DirectoryService.definition(self),
                DepartureService.withoutStore(),
                QuotaService.unlimited()),
        HttpDialect.DEFAULT,
        AnnounceService.DEFAULT_PROTOCOL);
  }

  /**
   * Returns the adapter for a platform with a row store, which has a change feed and a table of the
   * nodes.
   */
  static PlatformAdapter rowStore(StoreClient store, EmergencyAllowance tolerance) {
    return new PlatformAdapter(
        self ->
            Vector.of(
                FeedService.definition(FeedTable.OPERATORS, self.node(), store),
                FeedService.definition(FeedTable.NODES, self.node(), store),
                ChangeFeedConfigurationService.definition(
                    registry -> new OperatorTable(new RelayedRowStore(store, registry))),
                TableDirectoryService.definition(self, store),
                DepartureService.definition(self.node(), store),
                QuotaService.definition(self, store, tolerance)),
        PlatformDialect.DIALECT,
        HeartbeatFormat.PROTOCOL);
  }
}
