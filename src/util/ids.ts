/** Types of the names that identify the parts of a fleet. */

/** An entry host's name, unique in the fleet. */
export type HostId = string;
/** A data hall's name. */
export type HallId = string;
/** A region's name; the data halls of a region share pools. */
export type RegionId = string;
/** An upstream's name, unique in the fleet. */
export type UpstreamId = string;
/** A service's name: a model, or a plain service. */
export type ServiceId = string;
/** A pool's name: its service's name, with a number if there are several. */
export type PoolId = string;
/** A customer's name. */
export type CustomerId = string;
