import { nodeSettings, runProgram } from '@lavenderturn/runtime'
import { startNode } from './startNode'

void runProgram({
  program: 'lavenderturn-node', description: 'Proxy beside the backend servers of an instance', table: nodeSettings
}, async (settings) => { await startNode(settings) })
