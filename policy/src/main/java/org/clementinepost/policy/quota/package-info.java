/** Who may spend a customer's rate and burst, and how much of it. */
package org.clementinepost.policy.quota;
