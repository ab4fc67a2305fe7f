/** The service that enforces customers' quotas with tokens issued by the quota leader. */
package org.clementinepost.node.quota;
