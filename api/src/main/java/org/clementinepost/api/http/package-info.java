/** The names by which HTTP messages carry what the fleet needs to know. */
package org.clementinepost.api.http;
