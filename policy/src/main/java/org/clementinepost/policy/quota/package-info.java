/** Rates and bursts that hold over all nodes together: homes mint tokens, holders spend them. */
package org.clementinepost.policy.quota;
