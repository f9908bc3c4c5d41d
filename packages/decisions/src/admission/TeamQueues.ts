import type { TeamId } from '@lavenderturn/types'
import type { Work } from './AdmissionState'

/** Requests of one team that may wait at one backend server. */
export const TEAM_QUEUE_LIMIT = 64

/** Requests of all teams that may wait at one backend server. */
export const TOTAL_QUEUE_LIMIT = 256

/** Cost that a queue may spend in one turn; the cost of a request with the server's mean service time is 1. */
const QUANTUM = 1

/** Requests of one team, oldest first. Open routes share one queue. @public */
export interface TeamQueue {
  readonly team: TeamId | undefined
  readonly work: Work[]
  /** Cost that the queue may still spend in its turn. */
  deficit: number
}

/** Queues of one backend server, served by deficit round robin. @public */
export interface TeamQueues {
  readonly byTeam: Map<TeamId | undefined, TeamQueue>
  /** Queues that are not empty; the first one has its turn. */
  readonly round: TeamQueue[]
  size: number
}

/**
 * @returns queues without work
 * @internal
 */
export function createTeamQueues (): TeamQueues {
  return { byTeam: new Map(), round: [], size: 0 }
}

/**
 * Adds work to its team's queue. When the queues are full in total, the team with the most waiting work loses its
 * newest, so that a few teams cannot take all the room.
 *
 * @param queues - the queues
 * @param work - work that waits
 * @returns the work that found no room, or undefined
 * @internal
 */
export function enqueue (queues: TeamQueues, work: Work): Work | undefined {
  const queue = queues.byTeam.get(work.team) ?? openQueue(queues, work.team)
  if (queue.work.length >= TEAM_QUEUE_LIMIT) return work
  queue.work.push(work)
  queues.size += 1
  if (queues.size <= TOTAL_QUEUE_LIMIT) return undefined
  const longest = queues.round.reduce((most, next) => next.work.length > most.work.length ? next : most, queue)
  const dropped = longest.work.at(-1)!
  removeQueued(queues, dropped)
  return dropped
}

/**
 * Takes the next work by deficit round robin.
 *
 * @param queues - the queues
 * @param costOf - cost of a request in units of the server's mean service time
 * @returns the work, or undefined when nothing waits
 * @internal
 */
export function dequeue (queues: TeamQueues, costOf: (work: Work) => number): Work | undefined {
  while (queues.round.length > 0) {
    const queue = queues.round[0]!
    const work = queue.work[0]!
    const cost = costOf(work)
    if (queue.deficit >= cost) {
      queue.deficit -= cost
      removeQueued(queues, work)
      return work
    }
    queues.round.push(queues.round.shift()!)
    startTurn(queues)
  }
  return undefined
}

/**
 * Removes work that is not to be dispatched from these queues.
 *
 * @param queues - the queues
 * @param work - the work; ignored when it does not wait here
 * @internal
 */
export function removeQueued (queues: TeamQueues, work: Work): void {
  const queue = queues.byTeam.get(work.team)
  const index = queue?.work.indexOf(work) ?? -1
  if (queue === undefined || index < 0) return
  queue.work.splice(index, 1)
  queues.size -= 1
  if (queue.work.length === 0) closeQueue(queues, queue)
}

/**
 * Empties the queues.
 *
 * @param queues - the queues
 * @returns all work that waited
 * @internal
 */
export function drainQueues (queues: TeamQueues): Work[] {
  const drained = queues.round.flatMap(({ work }) => work)
  queues.byTeam.clear()
  queues.round.splice(0)
  queues.size = 0
  return drained
}

function openQueue (queues: TeamQueues, team: TeamId | undefined): TeamQueue {
  const queue: TeamQueue = { team, work: [], deficit: 0 }
  queues.byTeam.set(team, queue)
  queues.round.push(queue)
  if (queues.round.length === 1) startTurn(queues)
  return queue
}

function closeQueue (queues: TeamQueues, queue: TeamQueue): void {
  const index = queues.round.indexOf(queue)
  queues.byTeam.delete(queue.team)
  queues.round.splice(index, 1)
  if (index === 0) startTurn(queues)
}

function startTurn ({ round }: TeamQueues): void {
  if (round.length > 0) round[0]!.deficit += QUANTUM
}
