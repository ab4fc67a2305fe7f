/** Token buckets for customers' quotas and the election of the node that issues the tokens. */
package org.clementinepost.policy.quota;
